package federation

import (
	"testing"
	"time"
)

// newRoutingCoordinator returns a coordinator of site "a" with peers "b" and "c" and the given
// outgoing jobs.
func newRoutingCoordinator(change func(cfg *Config), outgoing ...Outgoing) *Coordinator {
	cfg := simConfig("a")
	if change != nil {
		change(cfg)
	}
	coordinator := New(cfg, 1)
	records := Records{}.copy()
	for i, record := range outgoing {
		record.Epoch = Epoch(i + 1)
		records.Outgoing["req-away-"+string(record.To)+string(rune('0'+i))] = record
		records.LastEpochs[record.To] = record.Epoch
	}
	coordinator.Step(time.Second, RecordsLoaded{records})
	for _, p := range cfg.Peers {
		coordinator.peer(p.Site).recordsCompared = true
	}
	return coordinator
}

func TestRoutePicksAnEligibleSite(t *testing.T) {
	outgoingTo := func(s Site, class string) Outgoing { return Outgoing{To: s, Ticket: Ticket{Class: class}} }
	atLimit := []Outgoing{outgoingTo("b", "k"), outgoingTo("b", "once")}
	for name, c := range map[string]struct {
		change   func(c *Config)
		outgoing []Outgoing
		job      WaitingJob
		to       Site
		reason   ineligibility
	}{
		"preferred site":                {job: WaitingJob{Class: "k"}, to: "b"},
		"class without sites":           {job: WaitingJob{Class: "other"}, reason: "class goes nowhere"},
		"wait too short":                {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{Class: "k", Waited: time.Second}, reason: "has not waited for long enough"},
		"wait long enough":              {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{Class: "k", Waited: time.Minute}, to: "b"},
		"preferred site at limit":       {outgoing: atLimit, job: WaitingJob{Class: "k"}, to: "c"},
		"preferred site drained":        {change: func(c *Config) { c.Peers[0].Drained = true }, job: WaitingJob{Class: "k"}, to: "c"},
		"preferred site on path":        {job: WaitingJob{Class: "k", Path: []Site{"b"}}, to: "c"},
		"too many hops":                 {job: WaitingJob{Class: "k", Path: []Site{"x", "y", "z"}}, reason: "has come through too many sites"},
		"class at limit":                {change: func(c *Config) { c.Classes[0].MaxOutgoing = 1 }, outgoing: atLimit, job: WaitingJob{Class: "k"}, reason: "as many of its class are away as may be"},
		"all sites at limit":            {change: func(c *Config) { c.Peers[1].MaxOutgoing = 0 }, outgoing: atLimit, job: WaitingJob{Class: "k"}, reason: "as many are there as may be"},
		"refused by preferred site":     {job: WaitingJob{ID: "req-refused", Class: "k"}, to: "c"},
		"longer wait at preferred site": {job: WaitingJob{ID: "req-late", Class: "k", Waited: 10 * time.Second}, to: "c"},
		"longer wait at this site":      {job: WaitingJob{ID: "req-late", Class: "k", Waited: time.Minute}, to: "b"},
		"infeasible at this site":       {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{ID: "req-late", Class: "k", InfeasibleHere: true}, to: "b"},
		"zone only at c": {change: func(c *Config) { c.Peers[0].Zones, c.Peers[1].Zones = []string{"n"}, []string{"s"} },
			job: WaitingJob{Class: "k", Zone: "s"}, to: "c"},
		"type only at c": {change: func(c *Config) { c.Peers[0].Types, c.Peers[1].Types = []string{"cpu"}, []string{"gpu"} },
			job: WaitingJob{Class: "k", Types: []string{"gpu", "tpu"}}, to: "c"},
		"zone at no site": {change: func(c *Config) { c.Peers[0].Zones, c.Peers[1].Zones = []string{"n"}, []string{"s"} },
			job: WaitingJob{Class: "k", Zone: "x"}, reason: "site has not the zone"},
	} {
		coordinator := newRoutingCoordinator(c.change, c.outgoing...)
		coordinator.refusals[refusalKey{"req-refused", "b"}] = true
		if c.job.ID == "req-late" {
			coordinator.peer("b").longestWaitS, coordinator.peer("b").loadReceivedAt = 30, coordinator.now
		}
		if to, reason := coordinator.route(c.job); to != c.to || reason != c.reason {
			t.Errorf("%s: got site %q, reason %q", name, to, reason)
		}
	}
}

func TestRefusalReasonOfOffers(t *testing.T) {
	valid := Ticket{Origin: "b", To: "a", JobID: "req-1", Class: "k", Epoch: 4, Path: []Site{"b"}}
	for name, c := range map[string]struct {
		change func(c *Config, t *Ticket)
		reason string
	}{
		"valid offer":             {func(*Config, *Ticket) {}, ""},
		"unknown site":            {func(_ *Config, t *Ticket) { t.Origin = "x" }, "site is unknown"},
		"drained site":            {func(c *Config, _ *Ticket) { c.Peers[0].Drained = true }, "site is drained"},
		"path contains this site": {func(_ *Config, t *Ticket) { t.Path = []Site{"a", "b"} }, "path is a loop or too long"},
		"empty path":              {func(_ *Config, t *Ticket) { t.Path = nil }, "path is a loop or too long"},
		"class not accepted":      {func(_ *Config, t *Ticket) { t.Class = "secret" }, "class is not taken from there"},
		"peer at limit":           {func(c *Config, _ *Ticket) { c.Peers[0].MaxIncoming = 0 }, reasonBusy},
	} {
		ticket := valid
		coordinator := newRoutingCoordinator(func(cfg *Config) { c.change(cfg, &ticket) })
		if reason := coordinator.refusalReason(ticket, ""); reason != c.reason {
			t.Errorf("%s: got reason %q", name, reason)
		}
	}
}
