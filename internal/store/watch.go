package store

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
	"pepperlever/internal/snapshot"
)

// errReload means that the stored state must be loaded again, because the core requested it or
// the watch cannot continue from its revision.
var errReload = errors.New("watch cannot continue: stored state must be reloaded")

// statusError is the HTTP status of a request that the key-value store rejected.
type statusError struct {
	request string
	status  int
}

// Error returns a message with the request and the status.
func (e statusError) Error() string { return fmt.Sprintf("%s: status %d", e.request, e.status) }

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
		} else {
			slog.Debug("stored state not loaded", "error", err.Error())
		}
		if !errors.Is(err, errReload) {
			sleep(ctx, s.retryInterval())
		}
	}
	return ctx.Err()
}

// errInconsistent means that the store has not shown all changes up to the last page of a list.
var errInconsistent = errors.New("changes end before the last page of the list")

// loadSnapshot reads the stored state as of one revision and passes it on. It returns the revision,
// after which to watch for changes.
func (s *Store) loadSnapshot() (uint64, error) {
	state, err := s.listAll()
	if err != nil {
		return 0, err
	}
	firstRevision := state.Revision()
	if err := s.catchUp(state); err != nil {
		return 0, err
	}
	items, revision := state.Items(), state.Revision()
	slog.Info("stored state listed",
		"pages", state.Pages(),
		"keys", len(items),
		"first_page_revision", firstRevision,
		"last_page_revision", state.NewestPage(),
		"revision", revision)
	s.emit(core.SnapshotLoaded{Revision: revision, Items: items})
	return revision, nil
}

// listAll reads all pages of keys. Each page shows the revision at which it was read.
func (s *Store) listAll() (*snapshot.Assembler, error) {
	state := &snapshot.Assembler{}
	for !state.HasAllPages() {
		page, err := s.listKeys(state.LastKey())
		if err != nil {
			return nil, err
		}
		if err := state.AddPage(page); err != nil {
			return nil, err
		}
	}
	return state, nil
}

// catchUp applies the changes made while the pages were read. Pages that all show the same revision
// need none.
func (s *Store) catchUp(state *snapshot.Assembler) error {
	if state.IsConsistent() {
		return nil
	}
	changes, status, err := s.changesAfter(state.Revision(), 0)
	switch {
	case err != nil:
		return err
	case status != fasthttp.StatusOK:
		return statusError{"read changes", status}
	}
	state.AddChanges(changes)
	if !state.IsConsistent() {
		return errInconsistent
	}
	return nil
}

// listKeys reads one page of keys. The page starts after the given key, unless it is empty.
func (s *Store) listKeys(after string) (page protocol.KeyList, err error) {
	args := []string{protocol.ArgPrefix, s.root, protocol.ArgLimit, listPageSize}
	if after != "" {
		args = append(args, protocol.ArgAfter, after)
	}
	status, err := s.watchClient.call(fasthttp.MethodGet, httpclient.Query(protocol.PathKV, args...), nil, &page)
	if err == nil && status != fasthttp.StatusOK {
		err = statusError{"list keys", status}
	}
	return page, err
}

// changesAfter reads the changes after a revision. If there are none yet, the store waits for one
// until the time is over.
func (s *Store) changesAfter(revision uint64, wait time.Duration) (changes protocol.Changes, status int, err error) {
	path := httpclient.Query(protocol.PathWatch,
		protocol.ArgPrefix, s.root,
		protocol.ArgAfter, strconv.FormatUint(revision, 10),
		protocol.ArgWait, strconv.FormatInt(wait.Milliseconds(), 10))
	status, err = s.watchClient.call(fasthttp.MethodGet, path, nil, &changes)
	return changes, status, err
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
		changes, status, err := s.changesAfter(revision, s.watchTimeout())
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
