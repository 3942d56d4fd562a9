package core

import (
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

	"pepperlever/internal/core/job"
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
	// Shape is what kind of jobs they are.
	Shape int
	// Awaits is how many earlier jobs each of them awaits.
	Awaits int
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
var troubles = map[string]func(w *day, node, other string){
	"all links refused": func(w *day, _, _ string) { w.refuse(everyLink) },
	"one link refused": func(w *day, node, other string) {
		w.refuse(func(f, t string) bool { return f == node && t == other })
	},
	"all of one refused": func(w *day, node, _ string) { w.refuse(func(f, t string) bool { return f == node || t == node }) },
	"all links slow":     func(w *day, _, _ string) { w.hold(everyLink) },
	"one link slow":      func(w *day, node, other string) { w.hold(func(f, t string) bool { return f == node && t == other }) },
	"no store for one": func(w *day, node, _ string) {
		if w.sound(node) {
			w.noStore(node)
		}
	},
	"one freezes": func(w *day, node, _ string) {
		if w.sound(node) {
			w.freeze(node)
		}
	},
	"one ends": func(w *day, node, _ string) {
		if w.sound(node) {
			w.crash(node)
			w.expire(node)
		}
	},
	"one is back at once": func(w *day, node, _ string) {
		if w.sound(node) {
			w.again(node)
			w.after(300*time.Millisecond, func() { w.again(node) })
		}
	},
	"all end and one is back": func(w *day, node, _ string) {
		w.allAway(8 * time.Second)
		w.boot(node)
	},
	"handed over and back": func(w *day, node, _ string) {
		if w.sound(node) {
			w.noStore(node)
			w.after(700*time.Millisecond, func() {
				if w.cut[node] && w.cores[node] != nil {
					w.withStore(node)
				}
			})
		}
	},
	"workers only": func(w *day, node, _ string) {
		if w.sound(node) {
			w.alone(node)
		}
	},
	"refused, then an outage": func(w *day, node, _ string) {
		if w.sound(node) {
			w.refuseStore(node)
			w.after(time.Duration(w.rng.IntN(6))*time.Second, func() { w.outage = true })
			w.after(time.Duration(10+w.rng.IntN(40))*time.Second, w.endOutage)
		}
	},
	"an outage": func(w *day, _, _ string) {
		w.outage = true
		w.after(time.Duration(3+w.rng.IntN(40))*time.Second, w.endOutage)
	},
	"slow watches": func(w *day, _, _ string) { w.watchLag = time.Duration(1+w.rng.IntN(3)) * time.Second },
	"late writes": func(w *day, _, _ string) {
		w.lateWrite = func(string, StoreTxn) time.Duration {
			if w.rng.IntN(4) > 0 {
				return 0
			}
			return time.Duration(2+w.rng.IntN(11)) * time.Second
		}
	},
	"held commands":    func(w *day, _, _ string) { w.holdDo = true },
	"late reports":     func(w *day, _, _ string) { w.copying = true },
	"a machine is cut": func(w *day, _, _ string) { w.some(20, func(id string) { w.unreached[id] = true }) },
	"deaf machines":    func(w *day, _, _ string) { w.some(5, func(id string) { w.unhearing[id] = true }) },
	"deaf to one":      func(w *day, node, _ string) { w.some(2, func(id string) { w.unheardBy[link{node, id}] = true }) },
	"machines taken":   func(w *day, _, _ string) { w.some(10, func(id string) { delete(w.workers, id) }) },
	"the cloud refuses": func(w *day, _, _ string) {
		w.noCloud = true
		w.after(30*time.Second, func() { w.noCloud = false })
	},
	"mute machines": func(w *day, _, _ string) {
		w.some(5, func(id string) { w.mute[id] = true })
		w.after(time.Duration(4+w.rng.IntN(40))*time.Second, func() { clear(w.mute) })
	},
	"a mute zone": func(w *day, _, _ string) {
		for id, f := range w.workers {
			if f.Zone == "z2" {
				w.mute[id] = true
			}
		}
		w.after(time.Duration(4+w.rng.IntN(30))*time.Second, func() { clear(w.mute) })
	},
	"machines hang": func(w *day, _, _ string) {
		w.some(10, func(id string) { w.hang(id, time.Duration(2+w.rng.IntN(30))*time.Second) })
	},
	"cancelled now":        func(w *day, node, _ string) { w.cancelNow(node) },
	"cancelled at the end": func(w *day, _, _ string) { w.atEnd = w.now + 30*time.Second },
	"odd requests":         func(w *day, _, _ string) { w.oddRequests() },
	"held reports":         func(w *day, _, _ string) { w.holdReports = true },
	"leaders change": func(w *day, _, _ string) {
		w.changeLeaders([]string{"red", "blue", "free"}[w.rng.IntN(3)], 10, time.Duration(3+w.rng.IntN(10))*time.Second)
	},
	"all away":      func(w *day, _, _ string) { w.allAway(w.lease() + time.Duration(w.rng.IntN(12))*time.Second) },
	"a zone is cut": func(w *day, _, _ string) { w.cutZoneFor(time.Duration(5+w.rng.IntN(40)) * time.Second) },
	"a zone is full": func(w *day, _, _ string) {
		w.closed = []string{"z1", "z2"}[w.rng.IntN(2)]
		w.after(30*time.Second, func() { w.closed = "" })
	},
	"limits become lower":  func(w *day, _, _ string) { w.lowLimits = len(w.former) == 0 },
	"the last is upgraded": func(w *day, _, _ string) { clear(w.former) },
	"all is well":          func(w *day, _, _ string) { w.recover() },
}

// recover ends all troubles.
func (w *world) recover() {
	w.healed++
	w.endOutage()
	w.noCloud, w.holdDo, w.watchLag, w.lateWrite, w.holdReports, w.closed = false, false, 0, nil, false, ""
	w.joinZone()
	w.heal()
	clear(w.unreached)
	clear(w.former)
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
		e.Shape = rapid.IntRange(0, 2*len(shapes)).Draw(t, "shape")
		e.Awaits = max(0, rapid.IntRange(-2, 3).Draw(t, "awaits"))
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
	// replies are what waits for the answers to requests.
	replies map[uint64]func(Answer)
	// calledOff are the jobs whose users have asked for their end, cancelledAt when they
	// were told first of it.
	calledOff   map[string]bool
	cancelledAt map[string]time.Duration
	// atEnd is until when jobs are called off as they end.
	atEnd time.Duration
	// recorder hashes what leaves the controllers.
	recorder *effectRecorder
}

// shapes are the kinds of jobs beside arrays that may run anywhere.
var shapes = []string{
	`,"shape":"group"`, `,"shape":"group","samePlace":true`, `,"shape":"group","spread":true`,
	`,"shape":"service","guessS":0.0,"dueS":null`, `,"shape":"service","guessS":0.0,"dueS":null,"spread":true`,
	`,"yard":"z1"`, `,"yard":"z2"`, `,"samePlace":true`, `,"spread":true`, `,"builds":["large"]`, `,"loaners":false`,
	`,"vcpus":4.0`, `,"urgency":"critical"`, `,"urgency":"low","dueS":null`, `,"pieces":40,"vcpus":0.5`,
}

// newDay has five controllers in two zones, one of which may be upgraded during the day,
// machines of two types and two teams with a limit.
func newDay(t tester, former bool) *day {
	w := newTunedWorld(t, five, func(s *settings.Settings) {
		s.Params.Teams[1].CPUsMax = 24
		s.Params.State.ValueKB = 2
		s.Params.State.Next = settings.StateLimits{WriteRPS: 30, ValueKB: 1, TxnOps: 5}
	})
	w.former["c"] = former
	if !former {
		clear(w.former)
	}
	w.most, w.racing = 60, true
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
	d := &day{world: w, final: map[string]string{}, replies: map[uint64]func(Answer){}, calledOff: map[string]bool{}, cancelledAt: map[string]time.Duration{}}
	recorder := newEffectRecorder()
	d.recorder = recorder
	w.tell = func(node string, e Effect) {
		recorder.record(w.now, node, e)
		if a, is := e.(Answer); is && d.replies[a.Req] != nil {
			d.replies[a.Req](a)
			delete(d.replies, a.Req)
		}
	}
	w.later = append(w.later, func() bool { d.cancelEnding(); return false })
	return d
}

// playDay plays a day, and checks over what users and workers see that every rule holds,
// and that all that was accepted is known, begins and ends once all troubles are over.
func playDay(t tester, events []event) {
	d := newDay(t, len(events)%4 == 0)
	defer d.recorder.finish()
	for n, e := range events {
		d.rng = rand.New(rand.NewPCG(e.Seed, 23))
		d.submitAll(n, e)
		troubles[e.What](d, d.names[e.Node], d.names[e.Other])
		d.pollSome()
		d.run(e.Pause, nil)
		if node := d.serving(); node != "" && e.Cancel > 0 && e.Cancel <= len(d.open) {
			id := d.open[e.Cancel-1]
			learn := d.learner(id)
			d.forgo(id)
			learn(d.question(node, func(req uint64) Command { return Cancel{Req: req, ID: id} }))
		}
	}
	d.recover()
	d.isKnown(75 * time.Second)
	d.allBegin(4 * time.Minute)
	d.noneWaits(90 * time.Second)
	if !d.run(20*time.Minute, d.served) {
		for _, id := range d.open {
			if s, _ := d.state(id); s.State != protocol.Done {
				t.Errorf("%s (%d tasks, %d on machines) does not end once all troubles have", id, d.specs[id].Tasks, d.onMachines(id))
			}
		}
	}
	d.chainsEnd()
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

// chainsEnd checks that what needs a cancelled job ends cancelled.
func (d *day) chainsEnd() {
	needsCancelled := func(id string) bool {
		return slices.ContainsFunc(d.specs[id].Awaits, func(awaited string) bool {
			s, _ := d.state(awaited)
			return s.State == protocol.Cancelled
		})
	}
	late := func(id string) bool {
		s, _ := d.state(id)
		return s.State != protocol.Cancelled && needsCancelled(id)
	}
	if !d.run(time.Minute, func() bool { return !slices.ContainsFunc(d.all, late) }) {
		d.t.Errorf("%s does not end cancelled with what it awaits", d.all[slices.IndexFunc(d.all, late)])
	}
}

// served tells whether all jobs are done, and all replicas of services up.
func (d *day) served() bool {
	return !slices.ContainsFunc(d.open, func(id string) bool {
		s, _ := d.state(id)
		return s.State != protocol.Done && (d.specs[id].Kind != job.Service || d.onMachines(id) < d.specs[id].Tasks)
	})
}

// services counts the open services: they never end, and may not fill all machines.
func (d *day) services() (n int) {
	for _, id := range d.open {
		if d.specs[id].Kind == job.Service {
			n++
		}
	}
	return n
}

// request sends a request whose answer is taken whenever it comes.
func (d *day) request(make1 func(req uint64) Command, take func(Answer)) {
	node := d.serving()
	if node == "" {
		return
	}
	d.nextReq++
	d.replies[d.nextReq] = take
	d.send(node, make1(d.nextReq))
}

// callOff cancels an open job, and asks for it.
func (d *day) callOff(id string) {
	d.forgo(id)
	d.request(func(req uint64) Command { return Cancel{Req: req, ID: id} }, d.learner(id))
	d.request(func(req uint64) Command { return Status{Req: req, ID: id} }, d.learner(id))
}

// forgo takes a job whose user asks for its end, and all that need it, from the open ones:
// whatever the answer, they may end cancelled.
func (d *day) forgo(id string) {
	d.calledOff[id] = true
	d.open = slices.DeleteFunc(d.open, func(o string) bool { return d.mayBeCancelled(o) })
}

// mayBeCancelled tells whether the user of a job, or of one that it needs, has asked for its end.
func (d *day) mayBeCancelled(id string) bool {
	return d.calledOff[id] || slices.ContainsFunc(d.specs[id].Awaits, d.mayBeCancelled)
}

// upstreamTold is when the user of a job that a job needs was told, first, that it is cancelled.
func (d *day) upstreamTold(id string) (at time.Duration, told bool) {
	for _, awaited := range d.specs[id].Awaits {
		for _, when := range []func(string) (time.Duration, bool){d.upstreamTold, d.toldAt} {
			if t, is := when(awaited); is && (!told || t < at) {
				at, told = t, true
			}
		}
	}
	return at, told
}

func (d *day) toldAt(id string) (time.Duration, bool) {
	at, told := d.cancelledAt[id]
	return at, told
}

// isReady tells whether all that a job awaits has been done for that long.
func (d *day) isReady(id string, since time.Duration) bool {
	return !slices.ContainsFunc(d.specs[id].Awaits, func(awaited string) bool {
		s, _ := d.state(awaited)
		return s.State != protocol.Done || d.now-d.endedAt[awaited] < since
	})
}

// cancelNow has jobs called off that run, some of whose machines hang, while the state
// service refuses one controller; then it is out for all, for longer than a cancellation
// may take.
func (d *day) cancelNow(node string) {
	hung := 0
	for range 4 {
		if len(d.open) == 0 {
			break
		}
		id := d.open[d.rng.IntN(len(d.open))]
		if d.onMachines(id) == 0 {
			continue
		}
		for _, m := range slices.Sorted(maps.Keys(d.workers)) {
			if hung < 8 && slices.ContainsFunc(d.workers[m].Tasks, func(t protocol.TaskReport) bool { return strings.HasPrefix(t.Task, id+"/") }) && d.rng.IntN(3) == 0 {
				hung++
				d.hang(m, time.Duration(2+d.rng.IntN(34))*time.Second)
			}
		}
		d.callOff(id)
	}
	if d.sound(node) {
		d.refuseStore(node)
	}
	d.after(time.Second, func() { d.outage = true })
	d.after(time.Second+d.allowed()*6/5, d.endOutage)
}

// cancelEnding calls jobs off at the moment at which their last task ends, for a while.
func (d *day) cancelEnding() {
	if d.now >= d.atEnd {
		return
	}
	for _, id := range slices.Clone(d.open) {
		n := 0
		for d.completed[fmt.Sprintf("%s/%d", id, n)] {
			n++
		}
		if s, _ := d.state(id); n == d.specs[id].Tasks && s.State == "" {
			d.callOff(id)
		}
	}
}

// oddRequests repeats submissions, also in other words, calls off what has ended, and hands
// in what is malformed or can never run.
func (d *day) oddRequests() {
	for range min(3, len(d.all)) {
		id := d.all[d.rng.IntN(len(d.all))]
		body := submission(id, d.specs[id].Team, d.specs[id].Tasks, []string{"", `,"vcpus":900.0`, `,"guessS":null`}[d.rng.IntN(3)])
		learn := d.learner(id)
		d.request(func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }, func(a Answer) {
			if learn(a); a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity {
				d.t.Errorf("%v: a repeated submission of %s got %d", d.now, id, a.Status)
			}
		})
		if d.final[id] == protocol.Done {
			d.request(func(req uint64) Command { return Cancel{Req: req, ID: id} }, d.learner(id))
		}
	}
	for more, want := range ordered(map[string]int{
		`,"bundle":null`: http.StatusBadRequest,
		`,"vcpus":64.0`:  http.StatusUnprocessableEntity,
		`,"shape":"group","yard":"z1","spread":true`: http.StatusUnprocessableEntity,
	}) {
		body := submission(fmt.Sprintf("req-free-odd-%d", d.rng.Uint64()), "free", 4, more)
		d.request(func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }, func(a Answer) {
			if a.Status != want && a.Status != http.StatusServiceUnavailable {
				d.t.Errorf("%v: what has %s got %d", d.now, more, a.Status)
			}
		})
	}
}

// cutZoneFor cuts the second zone off for a while.
func (d *day) cutZoneFor(t time.Duration) {
	if d.zoneCut != "" {
		return
	}
	d.cutZone("z2")
	d.after(t, d.joinZone)
}

// noneWaits checks that no job has nothing on machines for that long while there is room
// for it and its team is under its limit.
func (d *day) noneWaits(within time.Duration) {
	since := map[string]time.Duration{}
	for end := d.now + 3*within; d.now < end && !d.served(); d.run(time.Second, nil) {
		for _, id := range d.open {
			s, _ := d.state(id)
			if s.State != "" || d.onMachines(id) > 0 || !d.isReady(id, 0) || !d.hasRoom(d.specs[id]) {
				delete(since, id)
				continue
			}
			if _, waits := since[id]; !waits {
				since[id] = d.now
			}
			if d.now-since[id] > within {
				d.t.Fatalf("%v: %s waits for %v beside room", d.now, id, within)
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
		more := ""
		if e.Shape < len(shapes) && team != "red" && !(strings.Contains(shapes[e.Shape], "service") && (team == "blue" || d.services() > 2)) {
			more = shapes[e.Shape]
		}
		more += d.someAwaited(e.Awaits)
		body := []byte(submission(id, team, e.Tasks, more))
		if d.question(node, func(req uint64) Command { return Submit{Req: req, Body: body} }).Status == http.StatusCreated {
			d.all = append(d.all, id)
			if !d.mayBeCancelled(id) {
				d.open = append(d.open, id)
			}
		}
	}
}

// someAwaited is the field of a submission that awaits some earlier jobs, in any state.
func (d *day) someAwaited(n int) string {
	ids := slices.DeleteFunc(slices.Clone(d.all), func(id string) bool { return d.specs[id].Kind == job.Service })
	if n = min(n, len(ids)); n == 0 {
		return ""
	}
	d.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return `,"awaits":["` + strings.Join(ids[:n], `","`) + `"]`
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
		d.learner(id)(d.poll(node, id))
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

// learner takes an answer to a request on a job that is sent now: it may not be older than
// what its user had been told by then, and a job has one final state.
func (d *day) learner(id string) func(Answer) {
	before, asked := d.final[id], d.now
	return func(a Answer) {
		d.learn(id, before, a)
		if at, told := d.upstreamTold(id); told && asked-at > d.allowed() {
			if s, is := a.Body.(protocol.JobState); is && (s.State == protocol.Queued || s.State == protocol.Running) {
				d.t.Errorf("%v: %s is %s, and one that it needs was cancelled at %v", d.now, id, s.State, at)
			}
		}
	}
}

// learn checks an answer against what was told before it was asked for.
func (d *day) learn(id, before string, a Answer) {
	s, is := a.Body.(protocol.JobState)
	switch now := d.final[id]; {
	case a.Status == http.StatusNotFound:
		d.t.Errorf("%v: %s was accepted and is not known", d.now, id)
	case !is || a.Status != http.StatusOK:
	case before != "" && s.State != before,
		now != "" && s.State != now && (s.State == protocol.Done || s.State == protocol.Cancelled):
		d.t.Errorf("%v: %s was %s and is %s", d.now, id, now, s.State)
	case s.State == protocol.Cancelled:
		if d.final[id] = s.State; now == "" {
			d.told[id], d.cancelledAt[id] = d.now, d.now
		}
		if !d.mayBeCancelled(id) {
			d.t.Errorf("%v: %s is cancelled, and nobody has asked for it", d.now, id)
		}
	case s.State == protocol.Done:
		d.final[id] = s.State
	}
}

// isKnown checks that each job is answered by some controller within that time.
func (d *day) isKnown(within time.Duration) {
	asked, learn := map[uint64]string{}, map[uint64]func(Answer){}
	known := map[string]bool{}
	for end := d.now + within; d.now < end && len(known) < len(d.all); d.run(5*time.Second, nil) {
		for _, id := range d.all {
			if !known[id] {
				d.nextReq++
				asked[d.nextReq], learn[d.nextReq] = id, d.learner(id)
				d.send(d.names[d.rng.IntN(len(d.names))], Status{Req: d.nextReq, ID: id})
			}
		}
		d.run(2*time.Second, nil)
		for req, id := range asked {
			if a, there := d.answers[req]; there {
				delete(asked, req)
				learn[req](a)
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
// tasks; what may be asked of it is that it does not wait while it has room for one. Of the
// other one with a limit, whose jobs are of all shapes, noneWaits asks the same.
func (d *day) allBegin(within time.Duration) {
	waits := func(team string) bool {
		return slices.ContainsFunc(d.open, func(id string) bool {
			limited := !strings.HasPrefix(id, "req-free")
			return limited == (team == "red") && !strings.HasPrefix(id, "req-blue") && d.startsOf(id) == 0 && d.isReady(id, within/2)
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
