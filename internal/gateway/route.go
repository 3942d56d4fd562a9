package gateway

import (
	"slices"
	"time"
)

// Job is a job that waits here, as far as the gateway has to know it.
type Job struct {
	ID    string
	Class string
	// Waited is for how long it has waited.
	Waited time.Duration
	// Path holds the sites that it came through, if it was handed to this one.
	Path []Site
	Body []byte
}

// peerState is what is known of another site.
type peerState struct {
	breaker breaker
	budget  budget
	at      time.Duration
	// busyUntil is until when it has asked for no offers.
	busyUntil time.Duration
}

// route picks the site that a job is offered to, or tells why there is none.
func (m *Machine) route(j Job) (to Site, why string) {
	k := m.cfg.class(j.Class)
	path := append(slices.Clone(j.Path), m.cfg.Site)
	switch {
	case len(k.To) == 0:
		return "", "class goes nowhere"
	case j.Waited < seconds(k.AfterS):
		return "", "has not waited for long enough"
	case len(path) > m.cfg.Hops:
		return "", "has come through too many sites"
	case k.AtOnce > 0 && m.away(func(a Away) bool { return a.Ticket.Class == k.Name }) >= k.AtOnce:
		return "", "as many of its class are away as may be"
	}
	why = "no site"
	for _, s := range k.To {
		p, _ := m.cfg.peer(s)
		switch {
		case slices.Contains(path, s):
			why = "came from there"
		case m.refused[refusal{j.ID, s}]:
			why = "was refused there"
		case p.Drain:
			why = "site is drained"
		case m.now < m.peer(s).busyUntil:
			why = "site has asked for a pause"
		case !m.peer(s).breaker.allows(m.now):
			why = "site does not answer"
		case m.away(func(a Away) bool { return a.To == s }) >= p.AtOnce:
			why = "as many are there as may be"
		default:
			return s, ""
		}
	}
	return "", why
}

// refusal names a job and a site that has refused it.
type refusal struct {
	job string
	by  Site
}

// away counts the jobs that are away and for which is holds.
func (m *Machine) away(is func(Away) bool) int {
	n := 0
	for _, a := range m.records.Away {
		if is(a) {
			n++
		}
	}
	return n
}

// refuses tells why this site does not take an offer, or nothing.
func (m *Machine) refuses(t Ticket) string {
	p, known := m.cfg.peer(t.Origin)
	taken := 0
	for h, k := range m.records.Taken {
		if h.Origin == t.Origin && k.Accepted && k.State == "" {
			taken++
		}
	}
	switch {
	case !known:
		return "site is unknown"
	case p.Drain:
		return "site is drained"
	case len(t.Path) == 0 || t.Path[0] != t.Origin && len(t.Path) == 1 || slices.Contains(t.Path, m.cfg.Site) || len(t.Path) > m.cfg.Hops:
		return "path is a loop or too long"
	case !slices.Contains(m.cfg.class(t.Class).Accept, t.Origin):
		return "class is not taken from there"
	case taken >= p.Takes:
		return busy
	}
	return ""
}

// busy is the reason of a refusal that may pass.
const busy = "as many are here as may be"

func (m *Machine) peer(s Site) *peerState {
	if m.peers[s] == nil {
		m.peers[s] = &peerState{}
	}
	return m.peers[s]
}
