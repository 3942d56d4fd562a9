package scaling

import (
	"maps"
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/protocol"
)

func offers() []Offer {
	small := protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.4}
	large := protocol.MachineType{Name: "large", CPUs: 32, MemoryGB: 128, Price: 7.5, SpotPrice: 3}
	return []Offer{{Type: small, Zone: "a"}, {Type: small, Zone: "a", Spot: true}, {Type: large, Zone: "a"}, {Type: large, Zone: "a", Spot: true}}
}

func demand(cpus float64, tasks int, spot bool) Demand {
	return Demand{Spec: &job.Spec{Need: job.Resources{CPUs: cpus, MemoryGB: 1}, Spot: spot}, Tasks: tasks}
}

func TestRentsTheCheapestThatIsAllowed(t *testing.T) {
	for name, c := range map[string]struct {
		demand Demand
		typ    string
		spot   bool
		count  int
	}{
		"small tasks":   {demand(2, 4, true), "small", true, 2},
		"no spot":       {demand(2, 4, false), "small", false, 2},
		"large task":    {demand(16, 2, true), "large", true, 1},
		"large no spot": {demand(16, 3, false), "large", false, 2},
	} {
		got := Plan([]Demand{c.demand}, nil, nil, offers(), 9)
		if len(got) != 1 || got[0].Offer.Type.Name != c.typ || got[0].Offer.Spot != c.spot || got[0].Count != c.count {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

func TestPendingMachinesAreNotRentedAgain(t *testing.T) {
	room := job.Resources{CPUs: 32, MemoryGB: 128}
	coming := []*placement.Host{{Type: "large", Zone: "a", Spot: true, Free: room, Capacity: room, RemainingS: -1}}
	if got := Plan([]Demand{demand(16, 2, true)}, coming, nil, offers(), 9); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
}

// TestExpensiveMachinesAreForWorkThatWouldBeLate checks that a short backlog alone rents no
// ordinary machines.
func TestExpensiveMachinesAreForWorkThatWouldBeLate(t *testing.T) {
	expensive := offers()[:1]
	expensive[0].MinEntitlement = Guaranteed
	guaranteed, pressed := demand(2, 2, true), demand(2, 2, true)
	guaranteed.Entitlement, pressed.Entitlement = Guaranteed, AtRisk
	for name, c := range map[string]struct {
		demand Demand
		orders int
	}{
		"may wait":         {demand(2, 2, true), 0},
		"is guaranteed":    {guaranteed, 1},
		"would be late":    {pressed, 1},
		"may not use spot": {demand(2, 2, false), 1},
	} {
		if got := Plan([]Demand{c.demand}, nil, nil, expensive, 9); len(got) != c.orders {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

func TestNothingIsRentedThatCannotHelp(t *testing.T) {
	if got := Plan([]Demand{demand(64, 1, true)}, nil, nil, offers(), 9); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
}

// TestPreemptibleRoomIsNotRentedAgain checks that no machines are rented for work that has best-
// effort work stopped at the same moment.
func TestPreemptibleRoomIsNotRentedAgain(t *testing.T) {
	preemptible := []*placement.Host{{Type: "large", Zone: "a", Spot: true, RemainingS: -1,
		Capacity: job.Resources{CPUs: 64, MemoryGB: 256}, Free: job.Resources{CPUs: 64, MemoryGB: 256}}}
	d := demand(16, 2, true)
	for right, want := range map[Entitlement]int{BestEffort: 1, Standard: 0, AtRisk: 0} {
		d.Entitlement = right
		if got := Plan([]Demand{d}, nil, preemptible, offers(), 9); len(got) != want {
			t.Errorf("right %d: %d orders, want %d", right, len(got), want)
		}
	}
}

// TestRentsWhereTheTasksMayGo checks that machines are rented in the zones that the other tasks of
// the job allow, not where they are cheapest.
func TestRentsWhereTheTasksMayGo(t *testing.T) {
	small := protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.4}
	expensive := small
	expensive.Price, expensive.SpotPrice = 2, 0.8
	both := []Offer{{Type: small, Zone: "a"}, {Type: expensive, Zone: "b"}}
	coming := func() []*placement.Host {
		return []*placement.Host{{Zone: "a", Type: "small", Free: job.Resources{CPUs: 4, MemoryGB: 16}, RemainingS: -1}}
	}
	for name, c := range map[string]struct {
		spec   job.Spec
		zones  placement.Zones
		offers []Offer
		coming []*placement.Host
		want   map[string]int
	}{
		"anywhere":                       {job.Spec{Tasks: 4}, nil, both, nil, map[string]int{"a": 4}},
		"spread":                         {job.Spec{Tasks: 4, Kind: job.Service, Spread: true}, nil, both, nil, map[string]int{"a": 2, "b": 2}},
		"spread, half is there":          {job.Spec{Tasks: 8, Kind: job.Service, Spread: true}, placement.Zones{"a": 4}, both, nil, map[string]int{"b": 4}},
		"spread, one is coming":          {job.Spec{Tasks: 5, Kind: job.Service, Spread: true}, placement.Zones{"a": 1}, both, coming(), map[string]int{"a": 1, "b": 2}},
		"together with others":           {job.Spec{Tasks: 8, OneZone: true}, placement.Zones{"b": 4}, both, nil, map[string]int{"b": 4}},
		"together with others elsewhere": {job.Spec{Tasks: 8, OneZone: true}, placement.Zones{"c": 4}, both, nil, map[string]int{}},
		"a gang together":                {job.Spec{Tasks: 4, Kind: job.Gang, OneZone: true}, nil, both, nil, map[string]int{"a": 4}},
		"a gang, one zone is full":       {job.Spec{Tasks: 4, Kind: job.Gang, OneZone: true}, nil, both[1:], coming(), map[string]int{"b": 4}},
		"a gang, one is coming":          {job.Spec{Tasks: 4, Kind: job.Gang, OneZone: true}, nil, both, coming(), map[string]int{"a": 3}},
		"nothing is known of a zone":     {job.Spec{Tasks: 8, OneZone: true}, placement.Zones{placement.UnknownZone: 1}, both, nil, map[string]int{}},
	} {
		c.spec.Need = job.Resources{CPUs: 4, MemoryGB: 1}
		got := map[string]int{}
		for _, o := range Plan([]Demand{{Spec: &c.spec, Tasks: 4, Zones: c.zones}}, c.coming, nil, c.offers, 9) {
			got[o.Offer.Zone] += o.Count
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

// TestPreemptibleRoomCountsOnlyWhereWorkIsStopped checks that the room of best-effort work does
// not count where stopping it would lose more than the work that waits.
func TestPreemptibleRoomCountsOnlyWhereWorkIsStopped(t *testing.T) {
	size := job.Resources{CPUs: 64, MemoryGB: 256}
	for name, c := range map[string]struct {
		loss, perCPU float64
		kind         job.Kind
		orders       int
	}{
		"just begun":            {loss: 80, perCPU: 5, orders: 0},
		"long tasks":            {loss: 8000, perCPU: 500, orders: 1},
		"many small long tasks": {loss: 100, perCPU: 100, orders: 1},
		"one large short task":  {loss: 640, perCPU: 10, orders: 1},
		"for a service":         {loss: 8000, perCPU: 500, kind: job.Service, orders: 0},
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
		if got := Plan([]Demand{d}, nil, preemptible, offers(), 9); len(got) != c.orders {
			t.Errorf("%s: %d orders, want %d", name, len(got), c.orders)
		}
	}
}
