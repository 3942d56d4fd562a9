package federation

import (
	"maps"
	"slices"
)

// Status is the state of a site's hand-offs, as shown to operators.
type Status struct {
	Site  Site         `json:"site"`
	Peers []PeerStatus `json:"peers"`
}

// PeerStatus is the state of the hand-offs with one peer.
type PeerStatus struct {
	Site            Site    `json:"site"`
	RecordsCompared bool    `json:"met"`
	SuspendedReason string  `json:"stopped,omitempty"`
	Drained         bool    `json:"drained,omitempty"`
	Breaker         string  `json:"breaker"`
	Busy            bool    `json:"busy,omitempty"`
	LongestWaitS    float64 `json:"wait_s"`
	Retries         int     `json:"retries"`
	// Outgoing counts the jobs handed off to the peer by stage. Incoming counts the jobs that the
	// peer has offered by stage.
	Outgoing map[string]int `json:"away"`
	Incoming map[string]int `json:"taken"`
	// OldestHandOffAt is the Unix time in milliseconds of the oldest recorded hand-off, or 0 if
	// there is none.
	OldestHandOffAt int64 `json:"oldest_at,omitempty"`
}

// HandOff describes one recorded hand-off.
type HandOff struct {
	JobID string `json:"job"`
	Class string `json:"class,omitempty"`
	Peer  Site   `json:"peer"`
	Epoch Epoch  `json:"epoch"`
	Stage string `json:"stage"`
	// Time is the Unix time in milliseconds of the hand-off or of the decision on it.
	Time int64 `json:"at"`
}

// Status returns the state of the hand-offs with all peers. The records must be loaded.
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
		status.updateOldest(outgoing.HandedOffAt)
	}
	for _, epoch := range c.index.incoming[cfg.Site] {
		incoming := c.records.Incoming[IncomingID{cfg.Site, epoch}]
		status.Incoming[incoming.Stage()]++
		status.updateOldest(incoming.DecidedAt)
	}
	return status
}

// updateOldest lowers OldestHandOffAt to the time of an older hand-off.
func (s *PeerStatus) updateOldest(at int64) {
	if s.OldestHandOffAt == 0 || at < s.OldestHandOffAt {
		s.OldestHandOffAt = at
	}
}

// ListHandOffs lists all recorded hand-offs: the outgoing ones by job ID, then the incoming ones
// by origin and epoch.
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
