package scaling

import (
	"maps"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/progress"
	"pepperlever/internal/protocol"
)

// offers returns spot and on-demand offers of a small and a large type in zone a.
func offers() []Offer {
	small := protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.4}
	large := protocol.MachineType{Name: "large", CPUs: 32, MemoryGB: 128, Price: 7.5, SpotPrice: 3}
	return []Offer{{Type: small, Zone: "a"}, {Type: small, Zone: "a", Spot: true}, {Type: large, Zone: "a"}, {Type: large, Zone: "a", Spot: true}}
}

// demand returns demand of a job whose tasks need 1 GB of memory each.
func demand(cpus float64, tasks int, spot bool) Demand {
	return Demand{Spec: &job.Spec{Need: job.Resources{CPUs: cpus, MemoryGB: 1}, Spot: spot}, Tasks: tasks}
}

// plan plans with at most nine machines of each offer.
func plan(demands []Demand, pending, preemptible []*placement.Host, offers []Offer) []Order {
	return Plan(demands, pending, preemptible, offers, 9, &progress.Counter{})
}

func TestPlanOrdersCheapestAllowedOffer(t *testing.T) {
	for name, c := range map[string]struct {
		demand Demand
		typ    string
		spot   bool
		count  int
	}{
		"small tasks":          {demand(2, 4, true), "small", true, 2},
		"small tasks, no spot": {demand(2, 4, false), "small", false, 2},
		"large tasks":          {demand(16, 2, true), "large", true, 1},
		"large tasks, no spot": {demand(16, 3, false), "large", false, 2},
	} {
		got := plan([]Demand{c.demand}, nil, nil, offers())
		if len(got) != 1 || got[0].Offer.Type.Name != c.typ || got[0].Offer.Spot != c.spot || got[0].Count != c.count {
			t.Errorf("%s: got orders %+v, want the cheapest allowed offer only", name, got)
		}
	}
}

func TestPlanCountsPendingMachines(t *testing.T) {
	capacity := job.Resources{CPUs: 32, MemoryGB: 128}
	pending := []*placement.Host{{Type: "large", Zone: "a", Spot: true, Free: capacity, Capacity: capacity, RemainingS: -1}}
	if got := plan([]Demand{demand(16, 2, true)}, pending, nil, offers()); len(got) != 0 {
		t.Errorf("got orders %+v, want none", got)
	}
}

// TestExpensiveOffersRequireEntitlement checks that no machines of an offer are rented for demand
// below its MinEntitlement, unless the job may not use spot machines. While the backlog is short,
// on-demand offers have a MinEntitlement that demand that can wait does not reach.
func TestExpensiveOffersRequireEntitlement(t *testing.T) {
	expensive := offers()[:1]
	expensive[0].MinEntitlement = Guaranteed
	guaranteed, atRisk := demand(2, 2, true), demand(2, 2, true)
	guaranteed.Entitlement, atRisk.Entitlement = Guaranteed, AtRisk
	for name, c := range map[string]struct {
		demand Demand
		orders int
	}{
		"can wait":         {demand(2, 2, true), 0},
		"guaranteed":       {guaranteed, 1},
		"at risk":          {atRisk, 1},
		"may not use spot": {demand(2, 2, false), 1},
	} {
		if got := plan([]Demand{c.demand}, nil, nil, expensive); len(got) != c.orders {
			t.Errorf("%s: got unexpected number of orders: %+v", name, got)
		}
	}
}

func TestPlanOrdersNothingForTasksThatFitNoType(t *testing.T) {
	if got := plan([]Demand{demand(64, 1, true)}, nil, nil, offers()); len(got) != 0 {
		t.Errorf("got orders %+v, want none", got)
	}
}

// TestPlanCountsPreemptibleHosts checks that no machines are rented for tasks that are about to
// preempt best-effort tasks.
func TestPlanCountsPreemptibleHosts(t *testing.T) {
	preemptible := []*placement.Host{{Type: "large", Zone: "a", Spot: true, RemainingS: -1,
		Capacity: job.Resources{CPUs: 64, MemoryGB: 256}, Free: job.Resources{CPUs: 64, MemoryGB: 256}}}
	d := demand(16, 2, true)
	for entitlement, want := range map[Entitlement]int{BestEffort: 1, Standard: 0, AtRisk: 0} {
		d.Entitlement = entitlement
		if got := plan([]Demand{d}, nil, preemptible, offers()); len(got) != want {
			t.Errorf("entitlement %d: got %d orders, want %d", entitlement, len(got), want)
		}
	}
}

// TestPlanOrdersInZonesThatTheJobCanUse checks that machines are rented in zones that the job's
// other tasks allow, even if another zone is cheaper.
func TestPlanOrdersInZonesThatTheJobCanUse(t *testing.T) {
	small := protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.4}
	expensive := small
	expensive.Price, expensive.SpotPrice = 2, 0.8
	both := []Offer{{Type: small, Zone: "a"}, {Type: expensive, Zone: "b"}}
	pending := func() []*placement.Host {
		return []*placement.Host{{Zone: "a", Type: "small", Free: job.Resources{CPUs: 4, MemoryGB: 16}, RemainingS: -1}}
	}
	for name, c := range map[string]struct {
		spec    job.Spec
		zones   placement.Zones
		offers  []Offer
		pending []*placement.Host
		want    map[string]int
	}{
		"any zone":                                  {job.Spec{Tasks: 4}, nil, both, nil, map[string]int{"a": 4}},
		"spread":                                    {job.Spec{Tasks: 4, Kind: job.Service, Spread: true}, nil, both, nil, map[string]int{"a": 2, "b": 2}},
		"spread, half is bound":                     {job.Spec{Tasks: 8, Kind: job.Service, Spread: true}, placement.Zones{"a": 4}, both, nil, map[string]int{"b": 4}},
		"spread, one machine is pending":            {job.Spec{Tasks: 5, Kind: job.Service, Spread: true}, placement.Zones{"a": 1}, both, pending(), map[string]int{"a": 1, "b": 2}},
		"same zone as other tasks":                  {job.Spec{Tasks: 8, OneZone: true}, placement.Zones{"b": 4}, both, nil, map[string]int{"b": 4}},
		"same zone as other tasks, no offers there": {job.Spec{Tasks: 8, OneZone: true}, placement.Zones{"c": 4}, both, nil, map[string]int{}},
		"gang in one zone":                          {job.Spec{Tasks: 4, Kind: job.Gang, OneZone: true}, nil, both, nil, map[string]int{"a": 4}},
		"gang, one zone has no offers":              {job.Spec{Tasks: 4, Kind: job.Gang, OneZone: true}, nil, both[1:], pending(), map[string]int{"b": 4}},
		"gang, one machine is pending":              {job.Spec{Tasks: 4, Kind: job.Gang, OneZone: true}, nil, both, pending(), map[string]int{"a": 3}},
		"other task in unknown zone":                {job.Spec{Tasks: 8, OneZone: true}, placement.Zones{placement.UnknownZone: 1}, both, nil, map[string]int{}},
	} {
		c.spec.Need = job.Resources{CPUs: 4, MemoryGB: 1}
		got := map[string]int{}
		for _, o := range plan([]Demand{{Spec: &c.spec, Tasks: 4, Zones: c.zones}}, c.pending, nil, c.offers) {
			got[o.Offer.Zone] += o.Count
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestPlanIgnoresHostsWherePreemptionCostsTooMuch checks that preemptible hosts do not count where
// preemption would lose more work than the pending task has.
func TestPlanIgnoresHostsWherePreemptionCostsTooMuch(t *testing.T) {
	size := job.Resources{CPUs: 64, MemoryGB: 256}
	for name, c := range map[string]struct {
		loss, perCPU float64
		kind         job.Kind
		orders       int
	}{
		"just started":             {loss: 80, perCPU: 5, orders: 0},
		"long tasks":               {loss: 8000, perCPU: 500, orders: 1},
		"many small long tasks":    {loss: 100, perCPU: 100, orders: 1},
		"one large short task":     {loss: 640, perCPU: 10, orders: 1},
		"preempting for a service": {loss: 8000, perCPU: 500, kind: job.Service, orders: 0},
	} {
		d := demand(16, 2, true)
		d.Spec.EstimateS, d.Spec.Kind, d.Spec.Tasks, d.Entitlement = 30, c.kind, 2, Standard
		preemptible := []*placement.Host{{
			Type:                 "large",
			Zone:                 "a",
			Spot:                 true,
			RemainingS:           -1,
			Capacity:             size,
			Free:                 size,
			PreemptionLoss:       c.loss,
			PreemptionLossPerCPU: c.perCPU,
		}}
		if got := plan([]Demand{d}, nil, preemptible, offers()); len(got) != c.orders {
			t.Errorf("%s: got %d orders, want %d", name, len(got), c.orders)
		}
	}
}

// Guards against a plan that never ends because one check of whether a task fits says yes and another
// one no, which hung the fleet leader.
func TestPlanEndsForAmountsThatRoundDifferently(t *testing.T) {
	for name, c := range map[string]struct {
		need     job.Resources
		capacity job.Resources
		tasks    int
	}{
		"two thirds of a CPU in single precision": {job.Resources{CPUs: 0.6666667, MemoryGB: 1}, job.Resources{CPUs: 16, MemoryGB: 64}, 33},
		"a third of a CPU in single precision":    {job.Resources{CPUs: 0.3333334, MemoryGB: 1}, job.Resources{CPUs: 4, MemoryGB: 64}, 24},
		"almost nothing on a full machine":        {job.Resources{CPUs: 1e-10}, job.Resources{}, 30},
		"almost no memory on a full machine":      {job.Resources{CPUs: 1, MemoryGB: 5e-7}, job.Resources{CPUs: 16}, 30},
		"almost a GPU on a machine without":       {job.Resources{CPUs: 1, GPUs: 5e-7}, job.Resources{CPUs: 16}, 30},
		"more than all of a machine":              {job.Resources{CPUs: 16.0000005}, job.Resources{CPUs: 16}, 3},
	} {
		host := &placement.Host{ID: "m", Zone: "a", Free: c.capacity, Capacity: c.capacity, RemainingS: -1}
		planned := make(chan []Order, 1)
		go func() {
			demands := []Demand{{Spec: &job.Spec{Tasks: c.tasks, Need: c.need}, Tasks: c.tasks}}
			planned <- plan(demands, []*placement.Host{host}, nil, nil)
		}()
		select {
		case <-planned:
		case <-time.After(10 * time.Second):
			t.Errorf("%s: the plan does not end", name)
		}
	}
}

// Guards against tiny tasks that wait because the plan puts more of them on a machine than its report can
// hold.
func TestPlanOrdersEnoughMachinesForReports(t *testing.T) {
	const tasks = 5000
	tiny := Demand{Spec: &job.Spec{ID: "req-000001", Tasks: tasks, Need: job.Resources{CPUs: 0.0001}, Spot: true}, Tasks: tasks}
	held := 0
	for _, order := range plan([]Demand{tiny}, nil, nil, offers()) {
		held += order.Count * placement.MaxTasksOnEmpty(tiny.Spec, order.Offer.Capacity())
	}
	if held < tasks {
		t.Errorf("the ordered machines hold %d of %d tasks", held, tasks)
	}
}
