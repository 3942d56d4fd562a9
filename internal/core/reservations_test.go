package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// gpuWorld has five controllers, and machines of two types: small ones, and large ones
// that have accelerators and hold one task of a gang each.
func gpuWorld(t *testing.T, small, large int) *world {
	t.Helper()
	w := newWorldOf(t, fiveNodes)
	w.maxMachines, w.allowRacingStarts = small+large, true
	w.types = append(w.types, protocol.MachineType{Name: "large", CPUs: 16, GPUs: 4, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1,
		Price: 20, SpotPrice: 8, BootS: 5, Zones: []string{"z1", "z2"}})
	for i := range small + large {
		id := w.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
		if i >= small {
			w.workers[id].Type = "large"
		}
	}
	w.ready().run(3*time.Second, nil)
	return w
}

const (
	gangMore    = `,"shape":"group","urgency":"urgent","vcpus":14.0,"accelerators":4.0,"samePlace":true,"loaners":false,"dueS":null`
	serviceMore = `,"shape":"service","urgency":"critical","memoryGb":7.0,"loaners":false,"spread":true,"guessS":0.0,"dueS":null`
)

// onType counts the tasks of a job that are on machines of a type.
func (w *world) onType(id, typ string) int {
	n := 0
	for _, f := range w.workers {
		if f.Type != typ {
			continue
		}
		for _, t := range f.Tasks {
			if t.State != protocol.Exited && len(t.Task) > len(id) && t.Task[:len(id)+1] == id+"/" {
				n++
			}
		}
	}
	return n
}

// Gangs of one task took every machine as it came free: on the added platform none of
// the gangs of eight that came after the first ever began.
func TestLargeGangBeginsWithinFourMinutesBehindAStreamOfSmallOnes(t *testing.T) {
	w := gpuWorld(t, 4, 12)
	w.taskTime = 40 * time.Second
	for n := range 200 {
		accepted(t, w.submit("a", fmt.Sprintf("req-free-%d", n), 1, gangMore))
		if n == 12 {
			accepted(t, w.submit("b", "req-blue-large", 5, gangMore))
		}
		w.run(time.Second, nil)
		if w.startsOf("req-blue-large") == 5 {
			break
		}
	}
	if n := w.startsOf("req-blue-large"); n != 5 {
		t.Fatalf("%d of 5 tasks of the large gang were started in four minutes", n)
	}
	w.startedOnce()
}

// Arrays are served in the order of their time, so one that comes behind wide ones has to
// wait for all of their tasks. It begins within four minutes all the same.
func TestSmallArrayBeginsBehindWideOnes(t *testing.T) {
	w := gpuWorld(t, 10, 0)
	w.taskTime = 20 * time.Second
	accepted(t, w.submit("a", "req-free-wide", 600, ""))
	w.run(5*time.Second, nil)
	accepted(t, w.submit("a", "req-free-small", 10, ""))
	if !w.run(3*time.Minute, func() bool { return w.startsOf("req-free-small") > 0 }) {
		t.Error("not one task has begun after three minutes")
	}
	before := w.startsOf("req-free-wide")
	w.run(time.Minute, nil)
	if now := w.startsOf("req-free-wide"); now-before < 40 {
		t.Errorf("%d tasks of the wide array were started in a minute beside it", now-before)
	}
}

// Two gangs that want the same zone must not hold half of it each.
func TestTwoLargeGangsDoNotHoldEachOtherUp(t *testing.T) {
	w := gpuWorld(t, 2, 12)
	w.taskTime = 30 * time.Second
	ids := []string{"req-free-1", "req-blue-1", "req-free-2", "req-blue-2"}
	for _, id := range ids {
		accepted(t, w.submit("a", id, 6, gangMore))
	}
	if !w.run(4*time.Minute, w.finished(ids...)) {
		t.Fatal("gangs do not end")
	}
	w.startedOnce()
}

// Replicas stay for long. Every third had settled on the machines that gangs need.
func TestServicesKeepOffMachinesThatGangsNeed(t *testing.T) {
	w := gpuWorld(t, 12, 6)
	w.taskTime = 20 * time.Second
	accepted(t, w.submit("a", "req-blue-gang", 2, gangMore))
	w.started("req-blue-gang", 2)
	accepted(t, w.submit("b", "req-free-watch", 24, serviceMore))
	w.run(20*time.Second, nil)
	if n := w.onType("req-free-watch", "large"); n != 0 {
		t.Errorf("%d replicas are on machines with accelerators", n)
	}
	if n := w.onType("req-free-watch", "small"); n < 20 {
		t.Errorf("%d of 24 replicas are up", n)
	}
}

// Those that were there before the first gang was known are moved, all but what has no
// room elsewhere.
func TestReplicasMoveOffAcceleratorsThatAGangWaitsFor(t *testing.T) {
	w := gpuWorld(t, 8, 2)
	w.taskTime = time.Hour
	accepted(t, w.submit("a", "req-free-batch", 16, `,"memoryGb":7.0`)) // fills the small machines
	w.started("req-free-batch", 16)
	accepted(t, w.submit("b", "req-free-watch", 8, serviceMore))
	w.run(time.Minute, nil)
	if n := w.onType("req-free-watch", "large"); n != 8 {
		t.Fatalf("%d of 8 replicas are where they should be moved from", n)
	}
	w.maxMachines = 0 // the cloud has no more
	w.cancelJob("a", "req-free-batch")
	accepted(t, w.submit("b", "req-blue-gang", 1, gangMore))
	if !w.run(time.Minute, func() bool { return w.startsOf("req-blue-gang") == 1 }) {
		t.Fatal("the gang does not begin")
	}
	w.run(10*time.Second, nil)
	if n := w.onMachines("req-free-watch"); n != 8 {
		t.Errorf("%d of 8 replicas are up", n)
	}
}

// A replica waits for nothing but room with its image. Arrays of lower priority used to
// hold both until their tasks ended.
func TestReplicasStartAtOnceInAFloodOfArrays(t *testing.T) {
	w := gpuWorld(t, 32, 0)
	w.taskTime = time.Hour
	accepted(t, w.submit("a", "req-free-first", 32, serviceMore))
	w.started("req-free-first", 32)
	for n := range 3 {
		w.taskTime = 15 * time.Second
		for part := range 4 {
			accepted(t, w.submit("b", fmt.Sprintf("req-free-%d%d", n, part), 100, `,"vcpus":1.0`))
		}
		w.run(18*time.Second, nil)
		w.taskTime = time.Hour
		id := fmt.Sprintf("req-free-next%d", n)
		accepted(t, w.submit("c", id, 6, serviceMore))
		w.run(600*time.Millisecond, nil)
		if got := w.onMachines(id); got != 6 {
			t.Errorf("%s: %d of 6 replicas are up after 0.6 s", id, got)
		}
	}
	if w.startsOf("req-free-00") == 0 {
		t.Error("arrays do not run beside services")
	}
}

// Where no room could be kept arrays are stopped for replicas.
func TestArraysYieldToReplicasWithoutRoom(t *testing.T) {
	w := gpuWorld(t, 8, 0)
	w.taskTime = time.Hour
	accepted(t, w.submit("b", "req-free-batch", 60, `,"vcpus":1.0`))
	w.started("req-free-batch", 32)
	accepted(t, w.submit("c", "req-free-watch", 6, serviceMore))
	w.run(4*time.Second, nil)
	if got := w.onMachines("req-free-watch"); got != 6 {
		t.Errorf("%d of 6 replicas are up after 4 s", got)
	}
	if got := w.onMachines("req-free-batch"); got < 16 {
		t.Errorf("%d tasks of the array are left, more were stopped than room was made for", got)
	}
}

// The only home ends while replicas are to start, and all controllers right after. A home
// that had just started over knew the replicas but not yet the zones of their machines,
// and put more than half of a service into one (wrong_place on three standard days).
func TestServicesStaySpreadWhileHomesStartOver(t *testing.T) {
	w := gpuWorld(t, 30, 0)
	w.taskTime = time.Hour
	for n := range 4 {
		accepted(t, w.submit("a", fmt.Sprintf("req-free-%d", n), 9, serviceMore))
	}
	w.run(time.Second, nil)
	for n, id := range slices.Sorted(maps.Keys(w.workers)) {
		w.workers[id].dead = n < 12 && w.workers[id].Zone == "z1"
	}
	for _, nodes := range [][]string{{w.cores["a"].teamBy["free"].leader}, fiveNodes} {
		for _, n := range nodes {
			w.crash(n)
			w.expire(n)
		}
		w.run(time.Second, nil)
		for _, n := range nodes {
			w.boot(n)
		}
		w.run(15*time.Second, nil)
	}
	w.run(time.Minute, nil)
	for n := range 4 {
		if got := w.onMachines(fmt.Sprintf("req-free-%d", n)); got != 9 {
			t.Errorf("%d of 9 replicas of service %d are up", got, n)
		}
	}
}

// One team with nothing, and catalogues with figures of nothing: what fits is served, the
// rest refused, and no controller ends.
func TestOddSettingsAndCataloguesAreServedOrRefused(t *testing.T) {
	plain := protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"z1", "z2"}}
	for name, c := range map[string]struct {
		change func(m *protocol.MachineType)
		gang   int // the answer to a gang with accelerators
	}{
		"as usual":     {func(*protocol.MachineType) {}, http.StatusUnprocessableEntity},
		"accelerators": {func(m *protocol.MachineType) { m.CPUs, m.GPUs, m.MemoryGB = 16, 4, 64 }, http.StatusCreated},
		"no prices":    {func(m *protocol.MachineType) { m.Price, m.SpotPrice = 0, 0 }, http.StatusUnprocessableEntity},
		"no cache":     {func(m *protocol.MachineType) { m.CacheGB, m.FetchGBPS, m.BootS = 0, 0, 0 }, http.StatusUnprocessableEntity},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorldOf(t, fiveNodes)
			w.allowRacingStarts, w.taskTime = true, 5*time.Second
			m := plain
			c.change(&m)
			w.types = []protocol.MachineType{m}
			for _, n := range w.names {
				w.cfg[n].Params.Teams = []settings.Team{{Name: "free"}}
				w.cores[n] = New(w.cfg[n], settings.DefaultPolicy(), n+"9")
				w.load(n)
			}
			for i := range 8 {
				w.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
			}
			w.run(8*time.Second, nil)
			accepted(t, w.submit("a", "req-free-1", 20, ""))
			accepted(t, w.submit("b", "req-free-2", 2, serviceMore))
			if got := w.submit("c", "req-free-3", 1, gangMore).Status; got != c.gang {
				t.Errorf("a gang gets %d", got)
			}
			if got := w.submit("d", "req-free-4", 1, `,"vcpus":400.0`).Status; got != http.StatusUnprocessableEntity {
				t.Errorf("what fits nowhere gets %d", got)
			}
			w.run(40*time.Second, nil)
			if w.startsOf("req-free-1") < 20 || w.startsOf("req-free-2") < 2 || c.gang == http.StatusCreated && w.startsOf("req-free-3") < 1 {
				t.Errorf("%d of the array, %d of the service, %d of the gang", w.startsOf("req-free-1"), w.startsOf("req-free-2"), w.startsOf("req-free-3"))
			}
		})
	}
}

// Gangs gather hosts after a time that grows with their size, and the largest after three
// time-outs.
func TestGangsGatherAfterATimeOfTheirSize(t *testing.T) {
	c := newWorld(t).cores["a"]
	for tasks, timeouts := range map[int]float64{1: 0, 2: 3.0 / 16, 4: 15.0 / 16, 8: 3, 100: 3} {
		j := job.New(job.Spec{Tasks: tasks, Kind: job.Gang, Accepted: 1000}, 64, 0)
		if got, want := gangReservationTime(j, c.policy.TimeoutS)-1000, int64(timeouts*c.policy.TimeoutS*1000); got != want {
			t.Errorf("%d tasks: after %d ms, want %d", tasks, got, want)
		}
	}
}
