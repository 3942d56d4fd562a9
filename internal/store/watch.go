package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
)

// errReload means that the stored state must be loaded again, because the core requested it or
// the watch cannot continue from its revision.
var errReload = errors.New("watch cannot continue: stored state must be reloaded")

// statusError is the HTTP status of a list request that the key-value store rejected.
type statusError struct{ status int }

// Error returns a message with the status.
func (e statusError) Error() string { return fmt.Sprintf("list keys: status %d", e.status) }

// listPageSize is the number of keys that one request lists.
const listPageSize = "500"

// Reload requests that the stored state be loaded again.
func (s *Store) Reload() {
	select {
	case s.reloadRequested <- struct{}{}:
	default:
	}
}

// followChanges loads the stored state and then passes on every change.
func (s *Store) followChanges(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := s.loadSnapshot()
		if err == nil {
			err = s.watch(ctx, revision)
		}
		if !errors.Is(err, errReload) {
			sleep(ctx, s.retryInterval())
		}
	}
	return ctx.Err()
}

// loadSnapshot reads the stored state and passes it on. It returns the revision after which
// to watch for changes.
func (s *Store) loadSnapshot() (uint64, error) {
	var snapshot core.SnapshotLoaded
	after := ""
	for pages := 1; ; pages++ {
		page, err := s.listKeys(after)
		if err != nil {
			return 0, err
		}
		if snapshot.Revision == 0 {
			snapshot.Revision = page.Revision
		}
		snapshot.Items = append(snapshot.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			slog.Info("stored state listed",
				"pages", pages,
				"keys", len(snapshot.Items),
				"first_page_revision", snapshot.Revision,
				"last_page_revision", page.Revision)
			s.emit(snapshot)
			return snapshot.Revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// listKeys reads one page of keys. The page starts after the given key, unless it is empty.
func (s *Store) listKeys(after string) (page protocol.KeyList, err error) {
	args := []string{protocol.ArgPrefix, s.root, protocol.ArgLimit, listPageSize}
	if after != "" {
		args = append(args, protocol.ArgAfter, after)
	}
	status, err := s.watchClient.call(fasthttp.MethodGet, httpclient.Query(protocol.PathKV, args...), nil, &page)
	if err == nil && status != fasthttp.StatusOK {
		err = statusError{status}
	}
	return page, err
}

// watch passes on changes until the stored state has to be loaded again. The pause between
// two requests batches changes into one response.
func (s *Store) watch(ctx context.Context, revision uint64) error {
	for ctx.Err() == nil {
		select {
		case <-s.reloadRequested:
			return errReload
		default:
		}
		var changes protocol.Changes
		status, err := s.watchClient.call(fasthttp.MethodGet, s.watchPath(revision), nil, &changes)
		switch {
		case err == nil && status == fasthttp.StatusOK:
			if len(changes.Events) > 0 || changes.Revision > revision {
				s.emit(core.StoreChanged{Revision: changes.Revision, Events: changes.Events})
			}
			revision = max(revision, changes.Revision)
			sleep(ctx, s.watchInterval())
		case err == nil && status == fasthttp.StatusGone:
			return errReload
		default:
			sleep(ctx, s.retryInterval())
		}
	}
	return ctx.Err()
}

// watchPath returns the path that requests the changes after a revision.
func (s *Store) watchPath(revision uint64) string {
	return httpclient.Query(protocol.PathWatch,
		protocol.ArgPrefix, s.root,
		protocol.ArgAfter, strconv.FormatUint(revision, 10),
		protocol.ArgWait, strconv.FormatInt(s.watchTimeout().Milliseconds(), 10))
}
