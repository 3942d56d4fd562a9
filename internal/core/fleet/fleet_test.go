package fleet

import (
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

func TestMachinesOnTheirWayAreNotRentedAgain(t *testing.T) {
	room := job.Resources{CPUs: 32, MemoryGB: 128}
	coming := []*placement.Host{{Type: "large", Zone: "a", Spot: true, Room: room, Size: room, Lasts: -1}}
	if got := Plan([]Demand{demand(16, 2, true)}, coming, nil, offers(), 9); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
}

// Ordinary machines rented for every short backlog made up most of the price.
func TestDearMachinesAreForWorkThatWouldBeLate(t *testing.T) {
	dear := offers()[:1]
	dear[0].Dear = Guaranteed
	guaranteed, pressed := demand(2, 2, true), demand(2, 2, true)
	guaranteed.Right, pressed.Right = Guaranteed, Pressed
	for name, c := range map[string]struct {
		demand Demand
		orders int
	}{
		"may wait":         {demand(2, 2, true), 0},
		"is guaranteed":    {guaranteed, 1},
		"would be late":    {pressed, 1},
		"may not use spot": {demand(2, 2, false), 1},
	} {
		if got := Plan([]Demand{c.demand}, nil, nil, dear, 9); len(got) != c.orders {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

func TestNothingIsRentedThatCannotHelp(t *testing.T) {
	if got := Plan([]Demand{demand(64, 1, true)}, nil, nil, offers(), 9); len(got) != 0 {
		t.Errorf("got %+v", got)
	}
}

// Machines used to be rented for work that had idle work stopped at the same
// moment: hundreds came, found nothing to do and went back.
func TestRoomOfIdleWorkIsNotRentedAgainForOtherWork(t *testing.T) {
	yielding := []*placement.Host{{Type: "large", Zone: "a", Spot: true, Lasts: -1,
		Size: job.Resources{CPUs: 64, MemoryGB: 256}, Room: job.Resources{CPUs: 64, MemoryGB: 256}}}
	d := demand(16, 2, true)
	for right, want := range map[Right]int{Idle: 1, Plain: 0, Pressed: 0} {
		d.Right = right
		if got := Plan([]Demand{d}, nil, yielding, offers(), 9); len(got) != want {
			t.Errorf("right %d: %d orders, want %d", right, len(got), want)
		}
	}
}
