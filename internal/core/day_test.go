package core

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pepperlever/internal/protocol"
)

// TestMain fixes the seed and the number of the property tests; -rapid.seed and
// -rapid.checks search further.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "2"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// event is one moment of a day of troubles: jobs come, one may be cancelled, and
// something fails, after a pause.
type event struct {
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
}

// sound tells whether a controller and at least two more are well, so that it may fail.
func (w *world) sound(node string) bool {
	n := 0
	for _, other := range w.names {
		if w.cores[other] != nil && !w.cut[other] && !w.frozen[other] {
			n++
		}
	}
	return n > 2 && w.cores[node] != nil && !w.cut[node] && !w.frozen[node]
}

// after lets something happen later, unless the day's troubles are over by then.
func (w *world) after(d time.Duration, f func()) {
	at, day := w.now+d, w.healed
	w.later = append(w.later, func() bool {
		if w.now >= at && w.healed == day {
			f()
		}
		return w.now >= at
	})
}

// some visits a part of all machines.
func (w *world) some(part int, f func(id string)) {
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if w.rng.IntN(part) == 0 {
			f(id)
		}
	}
}

func (w *world) alone(node string) {
	w.noStore(node)
	w.refuse(func(f, t string) bool { return f == node || t == node })
}

// again ends a controller that is back at once; the lease of its former run lives on for
// a while.
func (w *world) again(node string) {
	if w.cores[node] == nil {
		return
	}
	former := w.leasesOf(node)
	w.crash(node)
	w.boot(node)
	w.after(leaseLife, func() { w.endLeases(former) })
}

// troubles are what may happen on a day; each is a meeting with all others.
var troubles = map[string]func(w *world, node, other string){
	"all links refused": func(w *world, _, _ string) { w.refuse(everyLink) },
	"one link refused": func(w *world, node, other string) {
		w.refuse(func(f, t string) bool { return f == node && t == other })
	},
	"all of one refused": func(w *world, node, _ string) { w.refuse(func(f, t string) bool { return f == node || t == node }) },
	"all links slow":     func(w *world, _, _ string) { w.hold(everyLink) },
	"one link slow":      func(w *world, node, other string) { w.hold(func(f, t string) bool { return f == node && t == other }) },
	"no store for one": func(w *world, node, _ string) {
		if w.sound(node) {
			w.noStore(node)
		}
	},
	"one freezes": func(w *world, node, _ string) {
		if w.sound(node) {
			w.freeze(node)
		}
	},
	"one ends": func(w *world, node, _ string) {
		if w.sound(node) {
			w.crash(node)
			w.expire(node)
		}
	},
	"one is back at once": func(w *world, node, _ string) {
		if w.sound(node) {
			w.again(node)
			w.after(300*time.Millisecond, func() { w.again(node) })
		}
	},
	"all end and one is back": func(w *world, node, _ string) {
		for _, n := range w.names {
			if w.cores[n] != nil {
				w.crash(n)
				w.expire(n)
			}
		}
		w.boot(node)
		w.after(8*time.Second, func() {
			for _, n := range w.names {
				if w.cores[n] == nil {
					w.boot(n)
				}
			}
		})
	},
	"handed over and back": func(w *world, node, _ string) {
		if w.sound(node) {
			w.noStore(node)
			w.after(700*time.Millisecond, func() {
				if w.cut[node] && w.cores[node] != nil {
					w.withStore(node)
				}
			})
		}
	},
	"workers only": func(w *world, node, _ string) {
		if w.sound(node) {
			w.alone(node)
		}
	},
	"refused, then an outage": func(w *world, node, _ string) {
		if w.sound(node) {
			w.refuseStore(node)
			w.after(time.Duration(w.rng.IntN(6))*time.Second, func() { w.outage = true })
			w.after(time.Duration(10+w.rng.IntN(40))*time.Second, w.endOutage)
		}
	},
	"an outage": func(w *world, _, _ string) {
		w.outage = true
		w.after(time.Duration(3+w.rng.IntN(40))*time.Second, w.endOutage)
	},
	"slow watches": func(w *world, _, _ string) { w.watchLag = time.Duration(1+w.rng.IntN(3)) * time.Second },
	"late writes": func(w *world, _, _ string) {
		w.lateWrite = func(string, StoreTxn) time.Duration {
			if w.rng.IntN(4) > 0 {
				return 0
			}
			return time.Duration(2+w.rng.IntN(11)) * time.Second
		}
	},
	"held commands":    func(w *world, _, _ string) { w.holdDo = true },
	"late reports":     func(w *world, _, _ string) { w.copying = true },
	"a machine is cut": func(w *world, _, _ string) { w.some(20, func(id string) { w.unreached[id] = true }) },
	"deaf machines":    func(w *world, _, _ string) { w.some(5, func(id string) { w.unhearing[id] = true }) },
	"deaf to one":      func(w *world, node, _ string) { w.some(2, func(id string) { w.unheardBy[link{node, id}] = true }) },
	"machines taken":   func(w *world, _, _ string) { w.some(10, func(id string) { delete(w.workers, id) }) },
	"the cloud refuses": func(w *world, _, _ string) {
		w.noCloud = true
		w.after(30*time.Second, func() { w.noCloud = false })
	},
	"all is well": func(w *world, _, _ string) { w.recover() },
}

// recover ends all troubles.
func (w *world) recover() {
	w.healed++
	w.endOutage()
	w.noCloud, w.holdDo, w.watchLag, w.lateWrite = false, false, 0, nil
	w.heal()
	clear(w.unreached)
}

// drawEvent draws one moment; every third has the trouble that the days are about.
func drawEvent(about string) *rapid.Generator[event] {
	names := slices.Sorted(maps.Keys(troubles))
	return rapid.Custom(func(t *rapid.T) event {
		e := event{What: about}
		if rapid.IntRange(0, 2).Draw(t, "about") > 0 {
			e.What = rapid.SampledFrom(names).Draw(t, "what")
		}
		e.Node, e.Other = rapid.IntRange(0, 4).Draw(t, "node"), rapid.IntRange(0, 4).Draw(t, "other")
		e.Seed = rapid.Uint64().Draw(t, "seed")
		e.Pause = time.Duration(rapid.IntRange(0, 12).Draw(t, "pause")) * time.Second
		e.Tasks = rapid.IntRange(0, 9).Draw(t, "tasks")
		e.Long = rapid.Bool().Draw(t, "long")
		e.Cancel = rapid.IntRange(0, 8).Draw(t, "cancel")
		return e
	})
}

// Days on which any two troubles meet, and more, with jobs that are submitted, asked for
// and cancelled at any moment. A day that fails shrinks to a short one.
func TestRulesHoldWhicheverTroublesMeet(t *testing.T) {
	for about := range troubles {
		t.Run(about, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				playDay(t, rapid.SliceOfN(drawEvent(about), 2, 24).Draw(t, "day"))
			})
		})
	}
}

// day is what the users of one day know.
type day struct {
	*world
	// open are the jobs to be done, all those that were accepted.
	open, all []string
	// told is the newest final state that any user of a job was told.
	final map[string]string
}

// playDay plays a day, and checks over what users and workers see that every rule holds,
// and that all that was accepted is known, begins and ends once all troubles are over.
func playDay(t tester, events []event) {
	d := &day{world: idleWorld(t, 60), final: map[string]string{}}
	d.racing = true
	for n, e := range events {
		d.rng = rand.New(rand.NewPCG(e.Seed, 23))
		d.submitAll(n, e)
		troubles[e.What](d.world, d.names[e.Node], d.names[e.Other])
		d.pollSome()
		d.run(e.Pause, nil)
		if node := d.serving(); node != "" && e.Cancel > 0 && e.Cancel <= len(d.open) {
			id := d.open[e.Cancel-1]
			d.learn(id, d.question(node, func(req uint64) Command { return Cancel{Req: req, ID: id} }))
			// Whether it was confirmed or not its user has asked for it.
			d.open = slices.Delete(d.open, e.Cancel-1, e.Cancel)
		}
	}
	d.recover()
	d.isKnown(75 * time.Second)
	d.allBegin(4 * time.Minute)
	if !d.run(20*time.Minute, d.finished(d.open...)) {
		t.Errorf("jobs do not end once all troubles have")
	}
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

// serving names a controller that may answer users, or none.
func (w *world) serving() string {
	for _, i := range w.rng.Perm(len(w.names)) {
		if n := w.names[i]; w.cores[n] != nil && !w.cut[n] && !w.frozen[n] && !w.outage {
			return n
		}
	}
	return ""
}

// submitAll submits a job of each team.
func (d *day) submitAll(n int, e event) {
	d.taskTime, d.uneven = 8*time.Second, n%2 == 0
	if e.Long {
		d.taskTime = 60 * time.Second
	}
	for _, team := range []string{"red", "blue", "free"} {
		node := d.serving()
		if node == "" || e.Tasks == 0 {
			return
		}
		id := fmt.Sprintf("req-%s-%d", team, n)
		body := []byte(submission(id, team, e.Tasks, ""))
		if d.question(node, func(req uint64) Command { return Submit{Req: req, Body: body} }).Status == http.StatusCreated {
			d.open, d.all = append(d.open, id), append(d.all, id)
		}
	}
}

// pollSome asks for some jobs at controllers that may know less than others, and for one
// that nobody has submitted.
func (d *day) pollSome() {
	node := d.serving()
	if node == "" {
		return
	}
	for range min(2, len(d.all)) {
		id := d.all[d.rng.IntN(len(d.all))]
		d.learn(id, d.poll(node, id))
	}
	if a := d.poll(node, "req-nobody-1"); a.Status == http.StatusOK {
		d.t.Errorf("a job that nobody has submitted is %v", a.Body)
	}
}

// question asks a controller, which may end before it answers.
func (d *day) question(node string, ask func(req uint64) Command) Answer {
	d.nextReq++
	req := d.nextReq
	d.send(node, ask(req))
	d.run(5*time.Second, func() bool { _, there := d.answers[req]; return there })
	return d.answers[req]
}

func (d *day) poll(node, id string) Answer {
	return d.question(node, func(req uint64) Command { return Status{Req: req, ID: id} })
}

// learn checks an answer against what was told before.
func (d *day) learn(id string, a Answer) {
	s, is := a.Body.(protocol.JobState)
	switch before := d.final[id]; {
	case a.Status == http.StatusNotFound:
		d.t.Errorf("%v: %s was accepted and is not known", d.now, id)
	case !is || a.Status != http.StatusOK:
	case before != "" && s.State != before:
		d.t.Errorf("%v: %s was %s and is %s", d.now, id, before, s.State)
	case s.State == protocol.Cancelled:
		if d.final[id] = s.State; before == "" {
			d.told[id] = d.now
		}
	case s.State == protocol.Done:
		d.final[id] = s.State
	}
}

// isKnown checks that each job is answered by some controller within that time.
func (d *day) isKnown(within time.Duration) {
	asked := map[uint64]string{}
	known := map[string]bool{}
	for end := d.now + within; d.now < end && len(known) < len(d.all); d.run(5*time.Second, nil) {
		for _, id := range d.all {
			if !known[id] {
				d.nextReq++
				asked[d.nextReq] = id
				d.send(d.names[d.rng.IntN(len(d.names))], Status{Req: d.nextReq, ID: id})
			}
		}
		d.run(2*time.Second, nil)
		for req, id := range asked {
			if a, there := d.answers[req]; there {
				delete(asked, req)
				d.learn(id, a)
				if a.Status == http.StatusOK {
					known[id] = true
				}
			}
		}
	}
	for _, id := range d.all {
		if !known[id] {
			d.t.Errorf("no question about %s is answered for %v", id, within)
		}
	}
}

// allBegin checks that all jobs begin in time. A team at its limit waits for its own
// tasks; what may be asked of it is that it does not wait while it has room for one.
func (d *day) allBegin(within time.Duration) {
	waits := func(team string) bool {
		return slices.ContainsFunc(d.open, func(id string) bool {
			return strings.HasPrefix(id, "req-red") == (team == "red") && d.startsOf(id) == 0
		})
	}
	idle := time.Duration(0)
	for end := d.now + within; d.now < end && (waits("red") || waits("")); d.run(time.Second, nil) {
		if idle += time.Second; d.inUse("red") > 16-2 || !waits("red") {
			idle = 0
		}
		if idle > within/8 {
			d.t.Fatalf("%v: a job of red waits for %v while red has room", d.now, idle)
		}
	}
	if waits("") {
		d.t.Errorf("jobs do not begin within %v once all troubles are over", within)
	}
}
