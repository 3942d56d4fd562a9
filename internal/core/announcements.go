package core

import (
	"time"

	"pepperlever/internal/core/lookup"
)

const (
	// cancellationsPerMessage bounds a message, maxAnnouncements the memory. Beyond it the
	// oldest are dropped: peers that have not acknowledged them learn of them by their watch.
	cancellationsPerMessage = 256
	maxAnnouncements        = 4 * endedJobsKept
	// announcementLifetime is for how many cancellation deadlines a cancellation is announced.
	announcementLifetime = 4
)

// cancelAnnouncement is a known cancellation and which controllers have acknowledged it.
type cancelAnnouncement struct {
	Cancellation
	// since is when this node came to know of it.
	since time.Duration
	// acknowledgedBy holds the controllers that have said that they know. A later run of
	// one of them reads it in the stored state before it answers a worker.
	acknowledgedBy map[string]bool
	// waiting holds the requests that are resolved once another controller knows.
	waiting []lookup.Request
}

// knownTo tells whether a controller knows of the cancellation: it has acknowledged it, or
// its replica is past the revision that stored it.
func (a *cancelAnnouncement) knownTo(node string, peers *peerTable) bool {
	p := peers.get(node)
	return node == peers.self || p != nil && (a.acknowledgedBy[node] || p.revision >= a.Revision)
}

// knownToAll tells whether all controllers know of the cancellation.
func (a *cancelAnnouncement) knownToAll(peers *peerTable) bool {
	for _, node := range peers.names {
		if !a.knownTo(node, peers) {
			return false
		}
	}
	return true
}

// announcementSet holds the cancellations that are announced to the other controllers.
type announcementSet struct {
	byJob map[string]*cancelAnnouncement
	// order names them from the oldest; it may name some that have been removed.
	order []string
	// unconfirmed holds those that no user may be told of until another controller knows.
	unconfirmed map[string]*cancelAnnouncement
}

func newAnnouncementSet() announcementSet {
	return announcementSet{
		byJob:       map[string]*cancelAnnouncement{},
		unconfirmed: map[string]*cancelAnnouncement{},
	}
}

// of returns the announcement of a job's cancellation, nil if there is none.
func (s *announcementSet) of(job string) *cancelAnnouncement { return s.byJob[job] }

// has tells whether the cancellation of a job is announced.
func (s *announcementSet) has(job string) bool { return s.byJob[job] != nil }

// add begins to announce a cancellation, and drops the oldest beyond the limit.
func (s *announcementSet) add(k Cancellation, now time.Duration) {
	s.byJob[k.Job] = &cancelAnnouncement{Cancellation: k, since: now, acknowledgedBy: map[string]bool{}}
	s.order = append(s.order, k.Job)
	for len(s.order) > maxAnnouncements {
		delete(s.byJob, s.order[0])
		s.order = s.order[1:]
	}
}

// remove ends the announcement of a job's cancellation.
func (s *announcementSet) remove(job string) { delete(s.byJob, job) }

// expire ends announcements that are older than maxAge.
func (s *announcementSet) expire(now, maxAge time.Duration) {
	kept := s.order[:0]
	for _, job := range s.order {
		a := s.byJob[job]
		if a == nil {
			continue
		}
		if now-a.since > maxAge {
			delete(s.byJob, job)
			continue
		}
		kept = append(kept, job)
	}
	s.order = kept
}

// acknowledge notes that a controller knows of the cancellations of jobs.
func (s *announcementSet) acknowledge(node string, jobs ...string) {
	for _, job := range jobs {
		if a := s.byJob[job]; a != nil {
			a.acknowledgedBy[node] = true
		}
	}
}

// dueFor lists the cancellations of at least minAge that a controller is not known to know,
// as many as fit into a message.
func (s *announcementSet) dueFor(node string, peers *peerTable, now, minAge time.Duration) (out []Cancellation) {
	for _, job := range s.order {
		a := s.byJob[job]
		if a == nil || now-a.since < minAge || a.knownTo(node, peers) {
			continue
		}
		if out = append(out, a.Cancellation); len(out) == cancellationsPerMessage {
			break
		}
	}
	return out
}

// hasUnacknowledged tells whether a controller is not known to know of some cancellation.
func (s *announcementSet) hasUnacknowledged(node string, peers *peerTable) bool {
	for _, a := range s.byJob {
		if !a.knownTo(node, peers) {
			return true
		}
	}
	return false
}

// unacknowledgedBy names those of the given controllers that are not known to know of some
// cancellation.
func (s *announcementSet) unacknowledgedBy(nodes []string, peers *peerTable) (out []string) {
	for _, node := range nodes {
		if s.hasUnacknowledged(node, peers) {
			out = append(out, node)
		}
	}
	return out
}

// unacknowledged counts the cancellations that some controller is not known to know.
func (s *announcementSet) unacknowledged(peers *peerTable) (n int) {
	for _, a := range s.byJob {
		if !a.knownToAll(peers) {
			n++
		}
	}
	return n
}
