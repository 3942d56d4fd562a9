package federation

import (
	"encoding/json"
	"slices"
	"time"
)

// Job is a job that waits here, as far as the gateway has to know it.
type Job struct {
	ID    string
	Class string
	// Waited is for how long it has waited.
	Waited time.Duration
	// Zone and Types are what it asks for, and Elsewhere tells that this site has
	// no such machine at all.
	Zone      string
	Types     []string
	Elsewhere bool
	// Path holds the sites that it came through, if it was handed to this one.
	Path []Site
	Body json.RawMessage
}

// peerState is what is known of another site.
type peerState struct {
	site    Site
	breaker breaker
	budget  budget
	agenda  agenda
	// at is when the budget was last filled, retries counts what it paid for.
	at      time.Duration
	retries int
	// busyUntil is until when it has asked for no offers, busy the length of that.
	busy, busyUntil time.Duration
	// waitS is for how long work waits there, as told at waitAt; roomAt is when it
	// is told the same of this site.
	waitS          float64
	waitAt, roomAt time.Duration
	// floor is up to where it has closed its epochs, to be stored at forgetAt.
	floor    Epoch
	forgetAt time.Duration
	// met is set once both records have been compared, see meet.go; nonce is this
	// run's question, asked asks times, and again at askAt.
	met   bool
	nonce uint64
	asks  int
	askAt time.Duration
	// stopped tells why there are no hand-offs; ahead and lost are what the peer
	// knows of and this site does not.
	stopped string
	ahead   Epoch
	lost    map[Epoch]bool
}

// route picks the site that a job is offered to, or tells why there is none.
func (m *Machine) route(j Job) (to Site, why string) {
	k := m.cfg.class(j.Class)
	path := append(slices.Clone(j.Path), m.cfg.Site)
	switch {
	case len(k.To) == 0:
		return "", "class goes nowhere"
	case !j.Elsewhere && j.Waited < seconds(k.AfterS):
		return "", "has not waited for long enough"
	case len(path) > m.cfg.Hops:
		return "", "has come through too many sites"
	case k.AtOnce > 0 && m.index.class[k.Name] >= k.AtOnce:
		return "", "as many of its class are away as may be"
	}
	why = "no site"
	for _, s := range k.To {
		if why = m.barred(s, j, path); why == "" {
			return s, ""
		}
	}
	return "", why
}

// barred tells why a job may not go to a site now, or nothing.
func (m *Machine) barred(s Site, j Job, path []Site) string {
	c, known := m.cfg.peer(s)
	p := m.peer(s)
	switch {
	case !known:
		return "site is no peer"
	case slices.Contains(path, s):
		return "came from there"
	case m.refused[refusal{j.ID, s}]:
		return "was refused there"
	case p.stopped != "" || !p.met:
		return "records have not been compared"
	case c.Drain || m.records.Drained[s]:
		return "site is drained"
	case j.Zone != "" && c.Zones != nil && !slices.Contains(c.Zones, j.Zone):
		return "site has not the zone"
	case j.Types != nil && c.Types != nil && !slices.ContainsFunc(j.Types, func(t string) bool { return slices.Contains(c.Types, t) }):
		return "site has none of the types"
	case m.now < p.busyUntil:
		return "site has asked for a pause"
	case !p.breaker.allows(m.now):
		return "site does not answer"
	case len(m.index.open[s]) >= c.AtOnce:
		return "as many are there as may be"
	case !j.Elsewhere && m.now-p.waitAt < seconds(m.cfg.RoomAgeS) && p.waitS > j.Waited.Seconds():
		return "work waits for longer there"
	}
	return ""
}

// refusal names a job and a site that has refused it.
type refusal struct {
	job string
	by  Site
}

// refuses tells why this site does not take an offer, or nothing.
func (m *Machine) refuses(t Ticket, unfit string) string {
	p, known := m.cfg.peer(t.Origin)
	switch {
	case !known:
		return "site is unknown"
	case p.Drain || m.records.Drained[t.Origin]:
		return "site is drained"
	case len(t.Path) == 0 || t.Path[len(t.Path)-1] != t.Origin || slices.Contains(t.Path, m.cfg.Site) || len(t.Path) > m.cfg.Hops:
		return "path is a loop or too long"
	case !slices.Contains(m.cfg.class(t.Class).Accept, t.Origin):
		return "class is not taken from there"
	case unfit != "":
		return unfit
	case m.index.running[t.Origin]+m.deciding(t.Origin) >= p.Takes:
		return busy
	}
	return ""
}

// deciding counts the acceptances of an origin's jobs that are on their way.
func (m *Machine) deciding(origin Site) int {
	n := 0
	for _, p := range m.writing {
		if d, ok := p.write.(Decide); ok && d.Taken.Accepted && d.Hold.Origin == origin {
			n++
		}
	}
	return n
}

// busy is the reason of a refusal that may pass.
const busy = "as many are here as may be"

func (m *Machine) peer(s Site) *peerState {
	if m.peers[s] == nil {
		m.peers[s] = &peerState{site: s, at: m.now, lost: map[Epoch]bool{}}
	}
	return m.peers[s]
}
