package core

import (
	"time"

	"pepperlever/internal/core/lookup"
)

const (
	// cancellationsPerMessage bounds the size of a message.
	cancellationsPerMessage = 256
	// maxAnnouncements bounds the memory for announcements. Beyond it the oldest ones are dropped.
	// A peer that has not acknowledged a dropped one learns of its cancellation from the watch.
	maxAnnouncements = 4 * maxEndedJobs
	// announcementLifetimeDeadlines is how long a cancellation is announced, in cancellation
	// deadlines.
	announcementLifetimeDeadlines = 4
)

// cancelAnnouncement is a known cancellation and the set of controllers that acknowledged it.
type cancelAnnouncement struct {
	Cancellation
	// learnedAt is when this node learned of the cancellation.
	learnedAt time.Duration
	// acknowledgedBy holds the controllers that have acknowledged the cancellation. An
	// acknowledgement stays valid if the controller restarts, since it then loads the
	// stored state, with the cancellation, before it answers a worker.
	acknowledgedBy map[string]bool
	// pendingLookups holds the lookups that are resolved once another controller knows of the
	// cancellation.
	pendingLookups []lookup.Request
}

// knownTo reports whether a controller is certain to know of the cancellation: it has
// acknowledged it, or its replica has reached the revision that stored it.
func (a *cancelAnnouncement) knownTo(node string, peers *peerTable) bool {
	p := peers.get(node)
	return node == peers.self || p != nil && (a.acknowledgedBy[node] || p.revision >= a.Revision)
}

// knownToAll reports whether all controllers are certain to know of the cancellation.
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
	// order lists job IDs from the oldest announcement to the newest. It may contain IDs whose
	// announcements have been removed.
	order []string
	// unconfirmed holds the cancellations that must not be confirmed to users until another
	// controller knows of them.
	unconfirmed map[string]*cancelAnnouncement
}

func newAnnouncementSet() announcementSet {
	return announcementSet{
		byJob:       map[string]*cancelAnnouncement{},
		unconfirmed: map[string]*cancelAnnouncement{},
	}
}

// find returns the announcement of a job's cancellation, or nil if there is none.
func (s *announcementSet) find(job string) *cancelAnnouncement { return s.byJob[job] }

// has reports whether the cancellation of a job is being announced.
func (s *announcementSet) has(job string) bool { return s.byJob[job] != nil }

// add starts announcing a cancellation and drops the oldest announcements beyond the limit.
func (s *announcementSet) add(cancellation Cancellation, now time.Duration) {
	s.byJob[cancellation.Job] = &cancelAnnouncement{Cancellation: cancellation, learnedAt: now, acknowledgedBy: map[string]bool{}}
	s.order = append(s.order, cancellation.Job)
	for len(s.order) > maxAnnouncements {
		delete(s.byJob, s.order[0])
		s.order = s.order[1:]
	}
}

// remove stops announcing a job's cancellation.
func (s *announcementSet) remove(job string) { delete(s.byJob, job) }

// expire removes announcements that are older than maxAge.
func (s *announcementSet) expire(now, maxAge time.Duration) {
	kept := s.order[:0]
	for _, job := range s.order {
		a := s.byJob[job]
		if a == nil {
			continue
		}
		if now-a.learnedAt > maxAge {
			delete(s.byJob, job)
			continue
		}
		kept = append(kept, job)
	}
	s.order = kept
}

// acknowledge records that a controller knows of the cancellations of the given jobs.
func (s *announcementSet) acknowledge(node string, jobs ...string) {
	for _, job := range jobs {
		if a := s.byJob[job]; a != nil {
			a.acknowledgedBy[node] = true
		}
	}
}

// dueFor lists the cancellations of at least minAge that a controller may not know of, up to as
// many as fit into a message.
func (s *announcementSet) dueFor(node string, peers *peerTable, now, minAge time.Duration) (due []Cancellation) {
	for _, job := range s.order {
		a := s.byJob[job]
		if a == nil || now-a.learnedAt < minAge || a.knownTo(node, peers) {
			continue
		}
		if due = append(due, a.Cancellation); len(due) == cancellationsPerMessage {
			break
		}
	}
	return due
}

// hasUnacknowledged reports whether there is a cancellation that a controller may not know of.
func (s *announcementSet) hasUnacknowledged(node string, peers *peerTable) bool {
	for _, a := range s.byJob {
		if !a.knownTo(node, peers) {
			return true
		}
	}
	return false
}

// unacknowledgedBy lists those of the given controllers that may not know of every announced
// cancellation.
func (s *announcementSet) unacknowledgedBy(nodes []string, peers *peerTable) (unaware []string) {
	for _, node := range nodes {
		if s.hasUnacknowledged(node, peers) {
			unaware = append(unaware, node)
		}
	}
	return unaware
}

// unacknowledged counts the cancellations that at least one controller may not know of.
func (s *announcementSet) unacknowledged(peers *peerTable) (n int) {
	for _, a := range s.byJob {
		if !a.knownToAll(peers) {
			n++
		}
	}
	return n
}
