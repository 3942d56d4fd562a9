package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
	"pepperlever/internal/testseed"
)

// TestMain fixes the seed and the number of the property tests; -rapid.seed and
// -rapid.checks search further.
func TestMain(m *testing.M) {
	status := testseed.Run(m, testseed.Flags{"rapid.checks": "2"})
	printEffectsDigest()
	os.Exit(status)
}

// faultEvent is one moment of a day of troubles: jobs come, one may be cancelled, and
// something fails, after a pause.
type faultEvent struct {
	What string
	// Node and Other are controllers it may happen to, Seed is for what else is open.
	Node, Other int
	Seed        uint64
	Pause       time.Duration
	// Tasks is how many each of three new jobs has, Long that they run long, Cancel
	// which of the open jobs is cancelled, from 1.
	Tasks  int
	Long   bool
	Cancel int
	// Shape is what kind of jobs they are.
	Shape int
	// Awaits is how many earlier jobs each of them awaits.
	Awaits int
}

// drawFaultEvent draws one moment; every third has the trouble that the days are about.
func drawFaultEvent(about string) *rapid.Generator[faultEvent] {
	names := slices.Sorted(maps.Keys(faults))
	return rapid.Custom(func(t *rapid.T) faultEvent {
		e := faultEvent{What: about}
		if rapid.IntRange(0, 2).Draw(t, "about") > 0 {
			e.What = rapid.SampledFrom(names).Draw(t, "what")
		}
		e.Node, e.Other = rapid.IntRange(0, 4).Draw(t, "node"), rapid.IntRange(0, 4).Draw(t, "other")
		e.Seed = rapid.Uint64().Draw(t, "seed")
		e.Pause = time.Duration(rapid.IntRange(0, 12).Draw(t, "pause")) * time.Second
		e.Tasks = rapid.IntRange(0, 9).Draw(t, "tasks")
		e.Long = rapid.Bool().Draw(t, "long")
		e.Cancel = rapid.IntRange(0, 8).Draw(t, "cancel")
		e.Shape = rapid.IntRange(0, 2*len(jobShapes)).Draw(t, "shape")
		e.Awaits = max(0, rapid.IntRange(-2, 3).Draw(t, "awaits"))
		return e
	})
}

// Days on which any two troubles meet, and more, with jobs that are submitted, asked for
// and cancelled at any moment. A day that fails shrinks to a short one.
func TestRulesHoldWhicheverTroublesMeet(t *testing.T) {
	for about := range faults {
		t.Run(about, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				playRandomDay(t, rapid.SliceOfN(drawFaultEvent(about), 2, 24).Draw(t, "day"))
			})
		})
	}
}

// randomDay is what the users of one day know.
type randomDay struct {
	*world
	// open are the jobs to be done, all those that were accepted.
	open, all []string
	// told is the newest final state that any user of a job was told.
	final map[string]string
	// replies are what waits for the answers to requests.
	replies map[uint64]func(Answer)
	// cancelRequested are the jobs whose users have asked for their end, cancelledAt when they
	// were told first of it.
	cancelRequested map[string]bool
	cancelledAt     map[string]time.Duration
	// cancelAtEndUntil is until when jobs are called off as they end.
	cancelAtEndUntil time.Duration
	// recorder hashes what leaves the controllers.
	recorder *effectRecorder
}

// newRandomDay has five controllers in two zones, one of which may be upgraded during the day,
// machines of two types and two teams with a limit.
func newRandomDay(t tester, former bool) *randomDay {
	w := newTunedWorld(t, fiveNodes, func(s *settings.Settings) {
		s.Params.Teams[1].CPUsMax = 24
		s.Params.State.ValueKB = 2
		s.Params.State.Next = settings.StateLimits{WriteRPS: 30, ValueKB: 1, TxnOps: 5}
	})
	w.notUpgraded["c"] = former
	if !former {
		clear(w.notUpgraded)
	}
	w.maxMachines, w.allowRacingStarts = 60, true
	w.types = append(w.types, protocol.MachineType{Name: "large", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1, Price: 3, SpotPrice: 1.2,
		BootS: 5, Zones: []string{"z1", "z2"}})
	w.twoZones()
	for i := range 60 {
		id := w.addWorker(fmt.Sprintf("z%d", 1+i%2), i%3 == 0)
		if i%6 == 5 {
			w.workers[id].Type = "large"
		}
	}
	w.ready().run(10*time.Second, nil)
	d := &randomDay{world: w, final: map[string]string{}, replies: map[uint64]func(Answer){}, cancelRequested: map[string]bool{}, cancelledAt: map[string]time.Duration{}}
	recorder := newEffectRecorder()
	d.recorder = recorder
	w.onEffect = func(node string, e Effect) {
		recorder.record(w.now, node, e)
		if a, is := e.(Answer); is && d.replies[a.Req] != nil {
			d.replies[a.Req](a)
			delete(d.replies, a.Req)
		}
	}
	w.scheduled = append(w.scheduled, func() bool { d.cancelEndingJobs(); return false })
	return d
}

// playRandomDay plays a day, and checks over what users and workers see that every rule holds,
// and that all that was accepted is known, begins and ends once all troubles are over.
func playRandomDay(t tester, events []faultEvent) {
	d := newRandomDay(t, len(events)%4 == 0)
	defer d.recorder.finish()
	for n, e := range events {
		d.rng = rand.New(rand.NewPCG(e.Seed, 23))
		d.submitAll(n, e)
		faults[e.What](d, d.names[e.Node], d.names[e.Other])
		d.pollSome()
		d.run(e.Pause, nil)
		if node := d.serving(); node != "" && e.Cancel > 0 && e.Cancel <= len(d.open) {
			id := d.open[e.Cancel-1]
			learn := d.answerChecker(id)
			d.expectCancelled(id)
			learn(d.requestAndWait(node, func(req uint64) Command { return Cancel{Req: req, ID: id} }))
		}
	}
	d.recover()
	d.checkKnown(75 * time.Second)
	d.checkAllStart(4 * time.Minute)
	d.checkNoneWaitsBesideRoom(90 * time.Second)
	if !d.run(20*time.Minute, d.served) {
		for _, id := range d.open {
			if s, _ := d.state(id); s.State != protocol.Done {
				t.Errorf("%s (%d tasks, %d on machines) does not end once all troubles have", id, d.specs[id].Tasks, d.onMachines(id))
			}
		}
	}
	d.checkDependentsEnd()
	for _, id := range d.all {
		if s, _ := d.state(id); s.State == protocol.Done {
			for n := range s.Tasks {
				if task := fmt.Sprintf("%s/%d", id, n); !d.completed[task] {
					t.Errorf("%s is done, and %s has not completed", id, task)
				}
			}
		}
	}
}
