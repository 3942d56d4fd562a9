package core

import (
	"strings"
	"time"

	"pepperlever/internal/core/relay"
)

const (
	// relayWriteShare is the part of the store's limit on changes that the pages of all
	// controllers may take together.
	relayWriteShare = 1.0 / 4
	pagesPerWrite   = 2
)

// storeRelay exchanges messages through the store with live controllers that this node is
// partitioned from: each controller publishes pages under keys of its own, and reads
// those of the others. For leaders among them it starts and forgets tasks here.
type storeRelay struct {
	*environment
	core *Core
	// nextPublish is when the pages are compared with the store again, nextStartCheck when
	// bindings of unreachable leaders are looked at again.
	nextPublish, nextStartCheck time.Duration
	publication                 relay.Publication
	// writing is set while a write of pages has not been answered.
	writing bool
	// inboxes holds the pages of the other controllers.
	inboxes map[string]*relayInbox
}

// relayInbox holds the pages of another controller.
type relayInbox struct {
	// lastHeartbeat is when the newest page with a heartbeat came.
	lastHeartbeat time.Duration
	pages         map[string]*relay.Page
}

// relayHeartbeat is a heartbeat on a page. Its sequence number makes each unlike the one before.
type relayHeartbeat struct {
	Sequence uint64 `json:"#"`
	NodeHeartbeat
}

func newStoreRelay(core *Core) *storeRelay {
	return &storeRelay{environment: core.environment, core: core, inboxes: map[string]*relayInbox{}}
}

// interval is the pause between two writes of pages, each of about pagesPerWrite pages.
func (r *storeRelay) interval() time.Duration {
	share := relayWriteShare * r.core.limits.writeRate()
	controllers := float64(r.core.members.size())
	return max(r.reportInterval()/5, seconds(pagesPerWrite*controllers/share))
}

func pageKey(node, page string) string { return keyRelay + node + "/" + page }

// splitPageKey is the reverse of pageKey.
func splitPageKey(key string) (node, page string) {
	node, page, _ = strings.Cut(strings.TrimPrefix(key, keyRelay), "/")
	return node, page
}

// keys lists the store keys of all known pages, self's own included.
func (r *storeRelay) keys(self string) (out []string) {
	for _, page := range r.publication.StoredPages() {
		out = append(out, pageKey(self, page))
	}
	for node, inbox := range r.inboxes {
		for page := range inbox.pages {
			out = append(out, pageKey(node, page))
		}
	}
	return out
}

// put notes a page of another controller and returns that controller's inbox.
func (r *storeRelay) put(node, name string, page *relay.Page) *relayInbox {
	inbox := r.inboxes[node]
	if inbox == nil {
		inbox = &relayInbox{pages: map[string]*relay.Page{}}
		r.inboxes[node] = inbox
	}
	inbox.pages[name] = page
	return inbox
}

// remove notes that a page of another controller has been deleted.
func (r *storeRelay) remove(node, name string) {
	if inbox := r.inboxes[node]; inbox != nil {
		delete(inbox.pages, name)
	}
}

// heartbeatWithin tells whether a controller's page with a heartbeat has come within the
// given time.
func (r *storeRelay) heartbeatWithin(node string, now, limit time.Duration) bool {
	inbox := r.inboxes[node]
	return inbox != nil && now-inbox.lastHeartbeat < limit
}

// namesMachines tells whether some page of a controller names machines.
func (r *storeRelay) namesMachines(node string) bool {
	inbox := r.inboxes[node]
	if inbox == nil {
		return false
	}
	for _, page := range inbox.pages {
		if len(page.Machines) > 0 {
			return true
		}
	}
	return false
}
