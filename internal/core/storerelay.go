package core

import (
	"strings"
	"time"

	"pepperlever/internal/core/lastseen"
	"pepperlever/internal/core/relay"
)

const (
	// relayWriteShare is the share of the store's write rate that the pages of all controllers
	// may use together.
	relayWriteShare = 1.0 / 4
	// pagesPerWrite is the assumed number of pages in one write.
	pagesPerWrite = 2
)

// storeRelay exchanges messages through the store with live controllers that this node is
// partitioned from. Each controller publishes pages under its own keys and reads those of the
// others. On behalf of unreachable leaders this node starts and forgets tasks on its machines.
type storeRelay struct {
	*environment
	core *Core
	// nextPublish is when the pages are next compared with the store. nextStartCheck is when the
	// bindings of unreachable leaders are next checked.
	nextPublish, nextStartCheck time.Duration
	publication                 relay.Publication
	// writing is set while a write of pages awaits its reply.
	writing bool
	// inboxes holds the pages of the other controllers, by controller.
	inboxes map[string]*relayInbox
}

// relayInbox holds the pages of one other controller, by name.
type relayInbox struct {
	// lastHeartbeat is when the newest page with a heartbeat arrived.
	lastHeartbeat lastseen.Time
	pages         map[string]*relay.Page
}

// relayHeartbeat is a heartbeat on a page. Its sequence number changes with every heartbeat, so
// that the page is written even if nothing else has changed.
type relayHeartbeat struct {
	Sequence uint64 `json:"#"`
	NodeHeartbeat
}

func newStoreRelay(core *Core) *storeRelay {
	return &storeRelay{environment: core.environment, core: core, inboxes: map[string]*relayInbox{}}
}

// interval returns the time between two writes of this node's pages. With about pagesPerWrite pages
// per write, all controllers together stay within relayWriteShare.
func (r *storeRelay) interval() time.Duration {
	share := relayWriteShare * r.core.limits.writeRate()
	controllers := float64(r.core.members.size())
	return max(r.reportInterval()/5, seconds(pagesPerWrite*controllers/share))
}

// pageKey returns the store key of a controller's page.
func pageKey(node, page string) string { return keyRelay + node + "/" + page }

// splitPageKey is the inverse of pageKey.
func splitPageKey(key string) (node, page string) {
	node, page, _ = strings.Cut(strings.TrimPrefix(key, keyRelay), "/")
	return node, page
}

// keys returns the store keys of all known pages, including those of this node.
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

// putPage records a page of another controller and returns that controller's inbox.
func (r *storeRelay) putPage(node, name string, page *relay.Page) *relayInbox {
	inbox := r.inboxes[node]
	if inbox == nil {
		inbox = &relayInbox{pages: map[string]*relay.Page{}}
		r.inboxes[node] = inbox
	}
	inbox.pages[name] = page
	return inbox
}

// removePage records that a page of another controller has been deleted.
func (r *storeRelay) removePage(node, name string) {
	if inbox := r.inboxes[node]; inbox != nil {
		delete(inbox.pages, name)
	}
}

// heartbeatWithin reports whether a page with a controller's heartbeat has arrived within the
// limit.
func (r *storeRelay) heartbeatWithin(node string, now, limit time.Duration) bool {
	inbox := r.inboxes[node]
	return inbox != nil && inbox.lastHeartbeat.Within(now, limit)
}

// listsMachines reports whether any page of a controller lists machines.
func (r *storeRelay) listsMachines(node string) bool {
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
