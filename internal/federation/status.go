package federation

import (
	"maps"
	"slices"
	"time"
)

// Status is a site's gateway as operators see it.
type Status struct {
	Site  Site         `json:"site"`
	Peers []PeerStatus `json:"peers"`
}

// PeerStatus is what a site knows of another one. Away are the jobs there by stage,
// Taken those from there.
type PeerStatus struct {
	Site            Site           `json:"site"`
	RecordsCompared bool           `json:"met"`
	SuspendedReason string         `json:"stopped,omitempty"`
	Drained         bool           `json:"drained,omitempty"`
	Breaker         string         `json:"breaker"`
	Busy            bool           `json:"busy,omitempty"`
	LongestWaitS    float64        `json:"wait_s"`
	Retries         int            `json:"retries"`
	Outgoing        map[string]int `json:"away"`
	Incoming        map[string]int `json:"taken"`
	// OldestHandOffAt is the time of day in milliseconds of the oldest hand-off that is
	// open, 0 without one.
	OldestHandOffAt int64 `json:"oldest_at,omitempty"`
}

// HandOff is one open hand-off.
type HandOff struct {
	JobID string `json:"job"`
	Class string `json:"class,omitempty"`
	Peer  Site   `json:"peer"`
	Epoch Epoch  `json:"epoch"`
	Stage string `json:"stage"`
	Time  int64  `json:"at"`
}

// Stage is how far a job that is away has come.
func (a Outgoing) Stage() string {
	switch {
	case a.CancelRequested:
		return "cancel asked"
	case a.Accepted:
		return "accepted"
	}
	return "offered"
}

// Stage is how far a job that was taken has come.
func (k Incoming) Stage() string {
	switch {
	case !k.Accepted:
		return "refused"
	case k.FinalState != "":
		return "ended"
	}
	return "taken"
}

// Status tells how hand-offs stand.
func (m *Coordinator) Status() Status {
	out := Status{Site: m.cfg.Site}
	for _, c := range m.cfg.Peers {
		p := m.peer(c.Site)
		s := PeerStatus{Site: c.Site, RecordsCompared: p.recordsCompared, SuspendedReason: p.suspendedReason, Drained: c.Drained || m.records.Drained[c.Site],
			Breaker: p.breaker.state(m.now), Busy: m.now < p.backoffUntil, LongestWaitS: p.longestWaitS, Retries: p.retryCount,
			Outgoing: map[string]int{}, Incoming: map[string]int{}}
		for _, e := range m.index.openEpochs[c.Site] {
			a := m.records.Outgoing[m.index.outgoing[outgoingID{c.Site, e}]]
			s.Outgoing[a.Stage()]++
			s.older(a.HandedOffAt)
		}
		for _, e := range m.index.incoming[c.Site] {
			k := m.records.Incoming[IncomingID{c.Site, e}]
			s.Incoming[k.Stage()]++
			s.older(k.DecidedAt)
		}
		out.Peers = append(out.Peers, s)
	}
	return out
}

func (s *PeerStatus) older(at int64) {
	if s.OldestHandOffAt == 0 || at < s.OldestHandOffAt {
		s.OldestHandOffAt = at
	}
}

// state names the breaker's state as is usual.
func (b *circuitBreaker) state(now time.Duration) string {
	switch {
	case b.pause == 0:
		return "closed"
	case b.allows(now):
		return "half-open"
	}
	return "open"
}

// ListHandOffs lists all that is open: what is away by job, then what was taken.
func ListHandOffs(r *Records) []HandOff {
	out := []HandOff{}
	for _, job := range slices.Sorted(maps.Keys(r.Outgoing)) {
		a := r.Outgoing[job]
		out = append(out, HandOff{job, a.Ticket.Class, a.To, a.Epoch, a.Stage(), a.HandedOffAt})
	}
	for _, h := range slices.SortedFunc(maps.Keys(r.Incoming), CompareIncomingIDs) {
		k := r.Incoming[h]
		out = append(out, HandOff{k.LocalID, "", h.Origin, h.Epoch, k.Stage(), k.DecidedAt})
	}
	return out
}
