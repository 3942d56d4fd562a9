package federation

import (
	"testing"
	"time"
)

// newRoutingCoordinator is a gateway at "a" with peers b and c, and some jobs away.
func newRoutingCoordinator(change func(c *Config), away ...Outgoing) *Coordinator {
	c := simConfig("a")
	if change != nil {
		change(c)
	}
	m := New(c, 1)
	records := Records{}.copy()
	for i, a := range away {
		a.Epoch = Epoch(i + 1)
		records.Outgoing["req-away-"+string(a.To)+string(rune('0'+i))] = a
		records.LastEpochs[a.To] = a.Epoch
	}
	m.Step(time.Second, RecordsLoaded{records})
	for _, p := range c.Peers {
		m.peer(p.Site).recordsCompared = true
	}
	return m
}

func TestRoutePicksAnEligibleSite(t *testing.T) {
	at := func(s Site, class string) Outgoing { return Outgoing{To: s, Ticket: Ticket{Class: class}} }
	full := []Outgoing{at("b", "k"), at("b", "once")}
	for name, c := range map[string]struct {
		change func(c *Config)
		away   []Outgoing
		job    WaitingJob
		to     Site
		why    ineligibility
	}{
		"the preferred site":      {job: WaitingJob{Class: "k"}, to: "b"},
		"a class that stays":      {job: WaitingJob{Class: "other"}, why: "class goes nowhere"},
		"has just come":           {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{Class: "k", Waited: time.Second}, why: "has not waited for long enough"},
		"has waited":              {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{Class: "k", Waited: time.Minute}, to: "b"},
		"preferred one is full":   {away: full, job: WaitingJob{Class: "k"}, to: "c"},
		"preferred one drains":    {change: func(c *Config) { c.Peers[0].Drained = true }, job: WaitingJob{Class: "k"}, to: "c"},
		"not back where it was":   {job: WaitingJob{Class: "k", Path: []Site{"b"}}, to: "c"},
		"too many sites":          {job: WaitingJob{Class: "k", Path: []Site{"x", "y", "z"}}, why: "has come through too many sites"},
		"class has its number":    {change: func(c *Config) { c.Classes[0].MaxOutgoing = 1 }, away: full, job: WaitingJob{Class: "k"}, why: "as many of its class are away as may be"},
		"all sites full":          {change: func(c *Config) { c.Peers[1].MaxOutgoing = 0 }, away: full, job: WaitingJob{Class: "k"}, why: "as many are there as may be"},
		"refused there, the next": {job: WaitingJob{ID: "req-refused", Class: "k"}, to: "c"},
		"work waits there longer": {job: WaitingJob{ID: "req-late", Class: "k", Waited: 10 * time.Second}, to: "c"},
		"work waits here longer":  {job: WaitingJob{ID: "req-late", Class: "k", Waited: time.Minute}, to: "b"},
		"here it could never run": {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{ID: "req-late", Class: "k", InfeasibleHere: true}, to: "b"},
		"a zone that only c has": {change: func(c *Config) { c.Peers[0].Zones, c.Peers[1].Zones = []string{"n"}, []string{"s"} },
			job: WaitingJob{Class: "k", Zone: "s"}, to: "c"},
		"a type that only c has": {change: func(c *Config) { c.Peers[0].Types, c.Peers[1].Types = []string{"cpu"}, []string{"gpu"} },
			job: WaitingJob{Class: "k", Types: []string{"gpu", "tpu"}}, to: "c"},
		"a zone that nobody has": {change: func(c *Config) { c.Peers[0].Zones, c.Peers[1].Zones = []string{"n"}, []string{"s"} },
			job: WaitingJob{Class: "k", Zone: "x"}, why: "site has not the zone"},
	} {
		m := newRoutingCoordinator(c.change, c.away...)
		m.rejected[rejectionKey{"req-refused", "b"}] = true
		if c.job.ID == "req-late" {
			m.peer("b").longestWaitS, m.peer("b").loadReceivedAt = 30, m.now
		}
		if to, why := m.route(c.job); to != c.to || why != c.why {
			t.Errorf("%s: goes to %q (%s)", name, to, why)
		}
	}
}

func TestOffersAreAcceptedOrRefusedWithAReason(t *testing.T) {
	good := Ticket{Origin: "b", To: "a", JobID: "req-1", Class: "k", Epoch: 4, Path: []Site{"b"}}
	for name, c := range map[string]struct {
		change func(c *Config, t *Ticket)
		why    string
	}{
		"a good one":           {func(*Config, *Ticket) {}, ""},
		"a stranger's":         {func(_ *Config, t *Ticket) { t.Origin = "x" }, "site is unknown"},
		"while draining":       {func(c *Config, _ *Ticket) { c.Peers[0].Drained = true }, "site is drained"},
		"came through here":    {func(_ *Config, t *Ticket) { t.Path = []Site{"a", "b"} }, "path is a loop or too long"},
		"without a path":       {func(_ *Config, t *Ticket) { t.Path = nil }, "path is a loop or too long"},
		"a class not taken":    {func(_ *Config, t *Ticket) { t.Class = "secret" }, "class is not taken from there"},
		"none taken from them": {func(c *Config, _ *Ticket) { c.Peers[0].MaxIncoming = 0 }, reasonBusy},
	} {
		ticket := good
		m := newRoutingCoordinator(func(cfg *Config) { c.change(cfg, &ticket) })
		if why := m.rejectionReason(ticket, ""); why != c.why {
			t.Errorf("%s: %q", name, why)
		}
	}
}
