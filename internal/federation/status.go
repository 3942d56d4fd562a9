package federation

import (
	"maps"
	"slices"
)

// Status is a site's part in the federation as operators see it.
type Status struct {
	Site  Site         `json:"site"`
	Peers []PeerStatus `json:"peers"`
}

// PeerStatus is what a site knows of another one.
type PeerStatus struct {
	Site            Site    `json:"site"`
	RecordsCompared bool    `json:"met"`
	SuspendedReason string  `json:"stopped,omitempty"`
	Drained         bool    `json:"drained,omitempty"`
	Breaker         string  `json:"breaker"`
	Busy            bool    `json:"busy,omitempty"`
	LongestWaitS    float64 `json:"wait_s"`
	Retries         int     `json:"retries"`
	// Outgoing counts the jobs there, Incoming those from there, by stage.
	Outgoing map[string]int `json:"away"`
	Incoming map[string]int `json:"taken"`
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
	// Time is the time of day of the hand-off or of the decision, in milliseconds.
	Time int64 `json:"at"`
}

// Status tells how hand-offs stand. The records have to be loaded.
func (c *Coordinator) Status() Status {
	status := Status{Site: c.cfg.Site}
	for _, cfg := range c.cfg.Peers {
		status.Peers = append(status.Peers, c.peerStatus(cfg))
	}
	return status
}

func (c *Coordinator) peerStatus(cfg Peer) PeerStatus {
	peer := c.peer(cfg.Site)
	status := PeerStatus{
		Site:            cfg.Site,
		RecordsCompared: peer.recordsCompared,
		SuspendedReason: peer.suspendedReason,
		Drained:         cfg.Drained || c.records.Drained[cfg.Site],
		Breaker:         peer.breaker.state(c.now),
		Busy:            c.now < peer.backoffUntil,
		LongestWaitS:    peer.longestWaitS,
		Retries:         peer.retryCount,
		Outgoing:        map[string]int{},
		Incoming:        map[string]int{},
	}
	for _, epoch := range c.index.openEpochs[cfg.Site] {
		outgoing := c.records.Outgoing[c.index.outgoing[outgoingID{cfg.Site, epoch}]]
		status.Outgoing[outgoing.Stage()]++
		status.noteTime(outgoing.HandedOffAt)
	}
	for _, epoch := range c.index.incoming[cfg.Site] {
		incoming := c.records.Incoming[IncomingID{cfg.Site, epoch}]
		status.Incoming[incoming.Stage()]++
		status.noteTime(incoming.DecidedAt)
	}
	return status
}

// noteTime takes the time of a hand-off into that of the oldest.
func (s *PeerStatus) noteTime(at int64) {
	if s.OldestHandOffAt == 0 || at < s.OldestHandOffAt {
		s.OldestHandOffAt = at
	}
}

// ListHandOffs lists all that is open: the outgoing by job, then the incoming.
func ListHandOffs(records *Records) []HandOff {
	list := []HandOff{}
	for _, job := range slices.Sorted(maps.Keys(records.Outgoing)) {
		outgoing := records.Outgoing[job]
		list = append(list, HandOff{
			JobID: job,
			Class: outgoing.Ticket.Class,
			Peer:  outgoing.To,
			Epoch: outgoing.Epoch,
			Stage: outgoing.Stage(),
			Time:  outgoing.HandedOffAt,
		})
	}
	for _, id := range slices.SortedFunc(maps.Keys(records.Incoming), CompareIncomingIDs) {
		incoming := records.Incoming[id]
		list = append(list, HandOff{
			JobID: incoming.LocalID,
			Peer:  id.Origin,
			Epoch: id.Epoch,
			Stage: incoming.Stage(),
			Time:  incoming.DecidedAt,
		})
	}
	return list
}
