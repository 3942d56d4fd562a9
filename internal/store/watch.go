package store

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
)

// errReload tells that the changes can't be followed from here on.
var errReload = errors.New("watch cannot go on: stored state has to be read again")

// statusError is a list request that the key-value store refused.
type statusError struct{ status int }

// Error tells the status.
func (e statusError) Error() string { return fmt.Sprintf("list keys: status %d", e.status) }

// listPage is how many keys one request lists.
const listPage = "500"

// Reload asks for everything to be read again.
func (s *Store) Reload() {
	select {
	case s.reload <- struct{}{}:
	default:
	}
}

// follow loads the stored state and then passes every change on.
func (s *Store) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := s.load()
		if err == nil {
			err = s.watch(ctx, revision)
		}
		if !errors.Is(err, errReload) {
			sleep(ctx, s.retryInterval())
		}
	}
	return ctx.Err()
}

// load reads the stored state and passes it on. It returns the revision from which changes are
// to be followed.
func (s *Store) load() (uint64, error) {
	var snapshot core.SnapshotLoaded
	after := ""
	for {
		page, err := s.list(after)
		if err != nil {
			return 0, err
		}
		if snapshot.Revision == 0 {
			snapshot.Revision = page.Revision
		}
		snapshot.Items = append(snapshot.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			s.emit(snapshot)
			return snapshot.Revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// list reads one page of keys, those after a key if it is not empty.
func (s *Store) list(after string) (page protocol.KeyList, err error) {
	args := []string{protocol.ArgPrefix, s.root, protocol.ArgLimit, listPage}
	if after != "" {
		args = append(args, protocol.ArgAfter, after)
	}
	status, err := s.watches.call(fasthttp.MethodGet, httpclient.Query(protocol.PathKV, args...), nil, &page)
	if err == nil && status != fasthttp.StatusOK {
		err = statusError{status}
	}
	return page, err
}

// watch follows the changes until it has to start over. A short pause between
// two requests lets changes gather into one answer.
func (s *Store) watch(ctx context.Context, revision uint64) error {
	for ctx.Err() == nil {
		select {
		case <-s.reload:
			return errReload
		default:
		}
		var changes protocol.Changes
		status, err := s.watches.call(fasthttp.MethodGet, s.watchPath(revision), nil, &changes)
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

// watchPath is the request for the changes after a revision.
func (s *Store) watchPath(revision uint64) string {
	return httpclient.Query(protocol.PathWatch,
		protocol.ArgPrefix, s.root,
		protocol.ArgAfter, strconv.FormatUint(revision, 10),
		protocol.ArgWait, strconv.FormatInt(s.watchTimeout().Milliseconds(), 10))
}
