package federation

import (
	"encoding/json"
	"slices"
	"time"
)

// WaitingJob is a job that waits here, as far as the gateway has to know it.
type WaitingJob struct {
	ID    string
	Class string
	// Waited is for how long it has waited.
	Waited time.Duration
	// Zone and Types are what it asks for, and Elsewhere tells that this site has
	// no such machine at all.
	Zone           string
	Types          []string
	InfeasibleHere bool
	// Path holds the sites that it came through, if it was handed to this one.
	Path []Site
	Body json.RawMessage
}

// peerState is what is known of another site.
type peerState struct {
	site       Site
	breaker    circuitBreaker
	budget     retryBudget
	retryQueue retryQueue
	// refilledAt is when the budget was last filled, retries counts what it paid for.
	refilledAt time.Duration
	retryCount int
	// backoffUntil is until when it has asked for no offers, busy the length of that.
	backoff, backoffUntil time.Duration
	// longestWaitS is for how long work waits there, as told at loadReceivedAt; loadDueAt is when it
	// is told the same of this site.
	longestWaitS              float64
	loadReceivedAt, loadDueAt time.Duration
	// lowWaterMark is up to where it has closed its epochs, to be stored at forgetAt.
	lowWaterMark Epoch
	forgetAt     time.Duration
	// recordsCompared is set once both records have been compared, see meet.go; nonce is this
	// run's question, asked asks times, and again at viewRequestDueAt.
	recordsCompared  bool
	nonce            uint64
	viewRequests     int
	viewRequestDueAt time.Duration
	// suspendedReason tells why there are no hand-offs; ahead and lost are what the peer
	// knows of and this site does not.
	suspendedReason string
	peerLastEpoch   Epoch
	lostEpochs      map[Epoch]bool
}

// route picks the site that a job is offered to, or tells why there is none.
func (m *Coordinator) route(j WaitingJob) (to Site, why string) {
	k := m.cfg.class(j.Class)
	path := append(slices.Clone(j.Path), m.cfg.Site)
	switch {
	case len(k.To) == 0:
		return "", "class goes nowhere"
	case !j.InfeasibleHere && j.Waited < seconds(k.OfferAfterS):
		return "", "has not waited for long enough"
	case len(path) > m.cfg.MaxHops:
		return "", "has come through too many sites"
	case k.MaxOutgoing > 0 && m.index.outgoingByClass[k.Name] >= k.MaxOutgoing:
		return "", "as many of its class are away as may be"
	}
	why = "no site"
	for _, s := range k.To {
		if why = m.ineligibleReason(s, j, path); why == "" {
			return s, ""
		}
	}
	return "", why
}

// ineligibleReason tells why a job may not go to a site now, or nothing.
func (m *Coordinator) ineligibleReason(s Site, j WaitingJob, path []Site) string {
	c, known := m.cfg.peer(s)
	p := m.peer(s)
	switch {
	case !known:
		return "site is no peer"
	case slices.Contains(path, s):
		return "came from there"
	case m.rejected[rejectionKey{j.ID, s}]:
		return "was refused there"
	case p.suspendedReason != "" || !p.recordsCompared:
		return "records have not been compared"
	case c.Drained || m.records.Drained[s]:
		return "site is drained"
	case j.Zone != "" && c.Zones != nil && !slices.Contains(c.Zones, j.Zone):
		return "site has not the zone"
	case j.Types != nil && c.Types != nil && !slices.ContainsFunc(j.Types, func(t string) bool { return slices.Contains(c.Types, t) }):
		return "site has none of the types"
	case m.now < p.backoffUntil:
		return "site has asked for a pause"
	case !p.breaker.allows(m.now):
		return "site does not answer"
	case len(m.index.openEpochs[s]) >= c.MaxOutgoing:
		return "as many are there as may be"
	case !j.InfeasibleHere && m.now-p.loadReceivedAt < seconds(m.cfg.LoadMaxAgeS) && p.longestWaitS > j.Waited.Seconds():
		return "work waits for longer there"
	}
	return ""
}

// rejectionKey names a job and a site that has refused it.
type rejectionKey struct {
	job string
	by  Site
}

// rejectionReason tells why this site does not take an offer, or nothing.
func (m *Coordinator) rejectionReason(t Ticket, unfit string) string {
	p, known := m.cfg.peer(t.Origin)
	switch {
	case !known:
		return "site is unknown"
	case p.Drained || m.records.Drained[t.Origin]:
		return "site is drained"
	case len(t.Path) == 0 || t.Path[len(t.Path)-1] != t.Origin || slices.Contains(t.Path, m.cfg.Site) || len(t.Path) > m.cfg.MaxHops:
		return "path is a loop or too long"
	case !slices.Contains(m.cfg.class(t.Class).AcceptFrom, t.Origin):
		return "class is not taken from there"
	case unfit != "":
		return unfit
	case m.index.runningByOrigin[t.Origin]+m.deciding(t.Origin) >= p.MaxIncoming:
		return reasonBusy
	}
	return ""
}

// deciding counts the acceptances of an origin's jobs that are on their way.
func (m *Coordinator) deciding(origin Site) int {
	n := 0
	for _, p := range m.pendingWrites {
		if d, ok := p.write.(DecideIncoming); ok && d.Incoming.Accepted && d.ID.Origin == origin {
			n++
		}
	}
	return n
}

// reasonBusy is the reason of a refusal that may pass.
const reasonBusy = "as many are here as may be"

func (m *Coordinator) peer(s Site) *peerState {
	if m.peers[s] == nil {
		m.peers[s] = &peerState{site: s, refilledAt: m.now, lostEpochs: map[Epoch]bool{}}
	}
	return m.peers[s]
}
