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
	Site    Site           `json:"site"`
	Met     bool           `json:"met"`
	Stopped string         `json:"stopped,omitempty"`
	Drained bool           `json:"drained,omitempty"`
	Breaker string         `json:"breaker"`
	Busy    bool           `json:"busy,omitempty"`
	WaitS   float64        `json:"wait_s"`
	Retries int            `json:"retries"`
	Away    map[string]int `json:"away"`
	Taken   map[string]int `json:"taken"`
	// OldestAt is the time of day in milliseconds of the oldest hand-off that is
	// open, 0 without one.
	OldestAt int64 `json:"oldest_at,omitempty"`
}

// HandOff is one open hand-off.
type HandOff struct {
	Job   string `json:"job"`
	Class string `json:"class,omitempty"`
	Peer  Site   `json:"peer"`
	Epoch Epoch  `json:"epoch"`
	Stage string `json:"stage"`
	At    int64  `json:"at"`
}

// Stage is how far a job that is away has come.
func (a Away) Stage() string {
	switch {
	case a.CancelAsked:
		return "cancel asked"
	case a.Accepted:
		return "accepted"
	}
	return "offered"
}

// Stage is how far a job that was taken has come.
func (k Taken) Stage() string {
	switch {
	case !k.Accepted:
		return "refused"
	case k.State != "":
		return "ended"
	}
	return "taken"
}

// Status tells how hand-offs stand.
func (m *Machine) Status() Status {
	out := Status{Site: m.cfg.Site}
	for _, c := range m.cfg.Peers {
		p := m.peer(c.Site)
		s := PeerStatus{Site: c.Site, Met: p.met, Stopped: p.stopped, Drained: c.Drain || m.records.Drained[c.Site],
			Breaker: p.breaker.state(m.now), Busy: m.now < p.busyUntil, WaitS: p.waitS, Retries: p.retries,
			Away: map[string]int{}, Taken: map[string]int{}}
		for _, e := range m.index.open[c.Site] {
			a := m.records.Away[m.index.job[given{c.Site, e}]]
			s.Away[a.Stage()]++
			s.older(a.At)
		}
		for _, e := range m.index.taken[c.Site] {
			k := m.records.Taken[Hold{c.Site, e}]
			s.Taken[k.Stage()]++
			s.older(k.At)
		}
		out.Peers = append(out.Peers, s)
	}
	return out
}

func (s *PeerStatus) older(at int64) {
	if s.OldestAt == 0 || at < s.OldestAt {
		s.OldestAt = at
	}
}

// state names the breaker's state as is usual.
func (b *breaker) state(now time.Duration) string {
	switch {
	case b.pause == 0:
		return "closed"
	case b.allows(now):
		return "half-open"
	}
	return "open"
}

// HandOffs lists all that is open: what is away by job, then what was taken.
func HandOffs(r *Records) []HandOff {
	out := []HandOff{}
	for _, job := range slices.Sorted(maps.Keys(r.Away)) {
		a := r.Away[job]
		out = append(out, HandOff{job, a.Ticket.Class, a.To, a.Epoch, a.Stage(), a.At})
	}
	for _, h := range slices.SortedFunc(maps.Keys(r.Taken), CompareHolds) {
		k := r.Taken[h]
		out = append(out, HandOff{k.Local, "", h.Origin, h.Epoch, k.Stage(), k.At})
	}
	return out
}
