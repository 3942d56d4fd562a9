package placement

import (
	"slices"
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/progress"
	"pepperlever/internal/protocol"
)

// host returns an empty host that is not being reclaimed.
func host(id, zone string, cpus float64) *Host {
	r := job.Resources{CPUs: cpus, MemoryGB: 100}
	return &Host{ID: id, Type: "t", Zone: zone, Free: r, Capacity: r, RemainingS: -1}
}

// spec returns the spec of a job whose tasks need 1 GB of memory each.
func spec(cpus float64, tasks int) *job.Spec {
	return &job.Spec{Tasks: tasks, Need: job.Resources{CPUs: cpus, MemoryGB: 1}}
}

func TestAllowedAppliesPlacementConstraints(t *testing.T) {
	zoned, typed, oneZone, spread := spec(1, 1), spec(1, 1), spec(1, 4), spec(1, 5)
	zoned.Zone, typed.Types, oneZone.OneZone, spread.Spread = "b", []string{}, true, true
	spot := host("spot", "a", 4)
	spot.Spot = true
	for name, c := range map[string]struct {
		spec  *job.Spec
		host  *Host
		zones Zones
		want  bool
	}{
		"fits":                         {spec(4, 1), host("m", "a", 4), nil, true},
		"too large":                    {spec(5, 1), host("m", "a", 4), nil, false},
		"required zone is another one": {zoned, host("m", "a", 4), nil, false},
		"no type allowed":              {typed, host("m", "a", 4), nil, false},
		"spot not allowed":             {spec(1, 1), spot, nil, false},
		"same zone as other tasks":     {oneZone, host("m", "a", 4), Zones{"a": 2}, true},
		"not the zone of other tasks":  {oneZone, host("m", "a", 4), Zones{"b": 1}, false},
		"other task in unknown zone":   {oneZone, host("m", "a", 4), Zones{"?": 1}, false},
		"half the tasks, rounded up":   {spread, host("m", "a", 4), Zones{"a": 2}, true},
		"more than half the tasks":     {spread, host("m", "a", 4), Zones{"a": 3}, false},
		"possibly more than half":      {spread, host("m", "a", 4), Zones{"a": 2, UnknownZone: 1}, false},
	} {
		if got := Allowed(c.spec, c.host, c.zones); got != c.want {
			t.Errorf("%s: got allowed %v", name, got)
		}
	}
}

func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	hosts := []*Host{host("m1", "a", 4), host("m2", "b", 8)}
	s := spec(4, 2)
	s.OneZone = true
	out := PlaceGang(s, 2, hosts, nil, &progress.Counter{})
	if len(out) != 2 || out[0].ID != "m2" || out[1].ID != "m2" {
		t.Fatalf("got hosts %v, want m2 for both tasks", out)
	}
	if out := PlaceGang(s, 2, hosts, nil, &progress.Counter{}); out != nil || hosts[0].Free.CPUs != 4 {
		t.Errorf("gang was partly placed or its resources not released: %v", out)
	}
}

func TestReservationPreventsStarvationOfLargeTask(t *testing.T) {
	hosts := []*Host{host("m1", "a", 8), host("m2", "a", 8)}
	hosts[0].Free.CPUs, hosts[1].Free.CPUs = 2, 4
	if reserved := Reserve(spec(8, 1), 2, nil, hosts); len(reserved) != 1 || reserved[0].ID != "m1" {
		t.Fatalf("reserved %v, want only m1: at most half of the hosts", reserved)
	}
	if h := Choose(spec(1, 1), hosts, nil); h == nil || h.ID != "m2" {
		t.Errorf("small task went to %v, want m2", h)
	}
	// In the next round the prior reservation keeps the host free for tasks of the same size.
	hosts[0].Reserved, hosts[0].PriorReservation, hosts[0].Free = false, spec(8, 1).Need, hosts[0].Capacity
	if h := Choose(spec(1, 1), hosts, nil); h == nil || h.ID != "m2" {
		t.Errorf("small task went to %v, want m2", h)
	}
	if h := Choose(spec(8, 1), hosts, nil); h == nil || h.ID != "m1" {
		t.Errorf("large task went to %v, want m1", h)
	}
}

func TestHostBeingReclaimedTakesOnlyTasksThatFinishInTime(t *testing.T) {
	h := host("m", "a", 8)
	h.RemainingS = 10
	long, short := spec(1, 1), spec(1, 1)
	long.EstimateS, short.EstimateS = 20, 5
	if Choose(long, []*Host{h}, nil) != nil || Choose(short, []*Host{h}, nil) == nil {
		t.Error("the reclaim notice is ignored")
	}
}

func TestSurplusHostsAreTheLastChoiceWhileOthersHaveRoom(t *testing.T) {
	expensive, cheap := host("expensive", "a", 8), host("cheap", "a", 32)
	expensive.PricePremium, expensive.Free.CPUs = 1, 1 // nearly full, so the better fit
	hosts := []*Host{expensive, cheap}
	DeprioritizeSurplus(hosts, 0.1)
	if h := Choose(spec(1, 1), hosts, nil); h != cheap {
		t.Errorf("task went to %s, want the host that is not surplus", h.ID)
	}
	cheap.Free.CPUs = 0
	if h := Choose(spec(1, 1), hosts, nil); h != expensive {
		t.Error("a deprioritized host is not used although no other has free resources")
	}
}

// TestHostTakesNoMoreTasksThanFitIntoItsReport checks that many tiny tasks on one host do not make
// its report exceed the maximum request size.
func TestHostTakesNoMoreTasksThanFitIntoItsReport(t *testing.T) {
	s := &job.Spec{ID: "req-000001", Need: job.Resources{CPUs: 0.001}}
	h := &Host{Capacity: job.Resources{CPUs: 64}, Free: job.Resources{CPUs: 64}, RemainingS: -1}
	n := 0
	for p := NewPicker(s, []*Host{h}); p.Next(1, Zones{}) != nil; n++ {
		h.Allocate(s)
	}
	if n < 300 || n*len(`{"piece":"req-000001/99999","try":99999,"stance":"exited","cause":"done"}`) > protocol.MaxBody {
		t.Errorf("host takes %d tasks, want at least 300 whose report fits into one request", n)
	}
}

// singleImage is the image cache of a host with a single image.
type singleImage string

func (i singleImage) HasImage(name string) bool { return name == string(i) }

// TestUrgentTasksPreferHostsWithTheirImageEvenIfSurplus checks that tasks above normal priority,
// whose start is delayed by little more than the image pull, go to a host that has the image.
func TestUrgentTasksPreferHostsWithTheirImageEvenIfSurplus(t *testing.T) {
	for priority, want := range map[string]string{"critical": "warm", "urgent": "warm", "normal": "cold", "low": "cold"} {
		warm, cold := host("warm", "a", 32), host("cold", "a", 4)
		warm.Images, warm.PricePremium, warm.RelativeSize = singleImage("i"), 1, 1
		DeprioritizeSurplus([]*Host{warm, cold}, 0)
		s := spec(1, 1)
		s.Image, s.Priority = "i", slices.Index(protocol.Priorities, priority)
		if h := Choose(s, []*Host{warm, cold}, nil); h == nil || h.ID != want {
			t.Errorf("task of priority %s went to the wrong host %v", priority, h)
		}
	}
}

// Guards against a gang that cannot be placed keeping all other jobs off the hosts that it was tried on.
func TestGangThatDoesNotFitLeavesHostsAsTheyWere(t *testing.T) {
	h := host("m1", "a", 64)
	before := *h
	gang := &job.Spec{ID: "req-000001", Kind: job.Gang, Tasks: 5000, Need: job.Resources{CPUs: 0.001}}
	if out := PlaceGang(gang, gang.Tasks, []*Host{h}, nil, &progress.Counter{}); out != nil {
		t.Fatalf("a gang of %d tasks was placed on one host", gang.Tasks)
	}
	if *h != before {
		t.Errorf("got host %+v after the attempt, want %+v", *h, before)
	}
	if got := Choose(spec(1, 1), []*Host{h}, nil); got != h {
		t.Error("another job finds no room")
	}
}

// Guards against a controller that is taken for a hanging one while it places a gang of very many tasks on
// very many hosts.
func TestPlacementOfLargeGangShowsProgress(t *testing.T) {
	const tasks = 300
	gang := &job.Spec{ID: "req-000001", Kind: job.Gang, Tasks: tasks, Need: job.Resources{CPUs: 0.001}}
	finished := &progress.Counter{}
	if out := PlaceGang(gang, tasks, []*Host{host("m1", "a", 64)}, nil, finished); len(out) != tasks || finished.Units() < tasks {
		t.Errorf("%d of %d tasks placed in %d units of work, want at least one each", len(out), tasks, finished.Units())
	}
}
