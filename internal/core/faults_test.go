package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// handedIn notes a job as its user describes it, whatever becomes of it.
func (w *world) handedIn(body []byte) {
	if s, err := job.Parse(body, protocol.MaxBody); err == nil && w.specs[s.ID] == nil {
		w.specs[s.ID] = s
	}
}

// place tells a controller where it and the others are.
func (w *world) place(node string) {
	if w.zoneOf == nil {
		return
	}
	c := w.cfg[node]
	c.Zone = w.zoneOf[node]
	for i, p := range c.Peers {
		c.Peers[i].Zone = w.zoneOf[p.Node]
	}
}

// full tells whether the cloud has no more machines in a zone.
func (w *world) full(zone string) bool {
	n := 0
	for _, f := range w.workers {
		if f.Zone == zone {
			n++
		}
	}
	return zone == w.closed || w.zoned && n >= w.most/2
}

// twoZones puts the last two controllers into the second zone, the others into the first.
func (w *world) twoZones() {
	w.zoned, w.zoneOf = true, map[string]string{}
	for i, n := range w.names {
		if w.zoneOf[n] = "z1"; i >= len(w.names)-2 {
			w.zoneOf[n] = "z2"
		}
	}
	for _, n := range w.names {
		w.place(n)
	}
}

// cutZone cuts a zone off, with its machines and controllers, which go on hearing each
// other; joinZone ends that.
func (w *world) cutZone(zone string) {
	w.zoneCut = zone
	w.refuse(func(f, t string) bool { return (w.zoneOf[f] == zone) != (w.zoneOf[t] == zone) })
	for _, n := range w.names {
		if w.zoneOf[n] == zone {
			w.noStore(n)
		}
	}
}

func (w *world) joinZone() {
	if w.zoneCut == "" {
		return
	}
	zone := w.zoneCut
	w.zoneCut = ""
	w.restore()
	for _, n := range w.names {
		if w.zoneOf[n] == zone && w.cut[n] && w.cores[n] != nil {
			w.withStore(n)
		}
	}
}

// across tells whether a cut is between a controller and a machine.
func (w *world) across(node string, f *fakeWorker) bool {
	return w.zoneCut != "" && (w.zoneOf[node] == w.zoneCut) != (f.Zone == w.zoneCut)
}

// hang lets a machine stand still for a while: its tasks take that much longer, and what
// it is told meanwhile it carries out when it goes on.
func (w *world) hang(id string, d time.Duration) {
	f := w.workers[id]
	if f == nil || w.hangs(id) {
		return
	}
	w.hungUntil[id] = w.now + d
	for k := range f.running {
		f.running[k] += d
	}
}

func (w *world) hangs(id string) bool { return w.now < w.hungUntil[id] }

// tendLease ends a worker's session with all its tasks once its lease is over.
func (w *world) tendLease(f *fakeWorker) {
	if w.now-f.leased > w.lease() {
		f.Session, f.Tasks, f.leased = f.Session+1, nil, w.now
		clear(f.running)
		clear(f.alone)
	}
}

// holdReport lets a report arrive later than any answer is waited for, at any controller:
// nobody has had one that is as new from that machine, unless it has reported again.
func (w *world) holdReport(b Heartbeat) {
	at := w.now + time.Duration(2+w.rng.IntN(30))*time.Second
	node := w.names[w.rng.IntN(len(w.names))]
	w.later = append(w.later, func() bool {
		if w.now < at {
			return false
		}
		if w.cores[node] != nil && !w.frozen[node] {
			w.nextReq++
			b.Req = w.nextReq
			w.send(node, b)
		}
		return true
	})
}

// allAway ends all controllers and lets them be back after a while.
func (w *world) allAway(d time.Duration) {
	w.forgotten = true
	for _, n := range w.names {
		if w.cores[n] != nil {
			w.crash(n)
			w.expire(n)
		}
	}
	w.after(d, func() {
		for _, n := range w.names {
			if w.cores[n] == nil {
				w.boot(n)
			}
		}
	})
}

// changeLeaders moves the home of a team every so often, by an end or by a lease that runs
// out.
func (w *world) changeLeaders(team string, times int, every time.Duration) {
	for i := range times {
		w.after(time.Duration(i)*every, func() {
			home := w.homeOf(team)
			if home == "" || w.cores[home] == nil || w.frozen[home] {
				return
			}
			if i%2 == 0 {
				w.again(home)
				w.expireFormer(home)
				return
			}
			w.noStore(home)
			w.after(every/4, func() {
				if w.cut[home] && w.cores[home] != nil {
					w.withStore(home)
				}
			})
		})
	}
}

// expireFormer ends the leases of a controller's runs but for its newest.
func (w *world) expireFormer(node string) {
	if all := w.leasesOf(node); len(all) > 1 {
		w.endLeases(all[:len(all)-1])
	}
}

// homeOf is the home of a team by the store, or nothing.
func (w *world) homeOf(team string) string {
	for _, n := range w.names {
		if c := w.cores[n]; c != nil && !w.cut[n] && c.loaded {
			return c.teamBy[team].leader
		}
	}
	return ""
}

// runTime is how long a task runs: a replica for good, what has been done before no time.
func (w *world) runTime(task string) time.Duration {
	id, n, _ := job.SplitTask(task)
	s := w.specs[id]
	switch {
	case w.completed[task]:
		return 0
	case s != nil && s.Kind == job.Service:
		return 1 << 50
	case w.uneven && n%2 == 1 && (s == nil || s.Kind != job.Gang):
		return 3 * w.taskTime
	}
	return w.taskTime
}

// tendGangs has the tasks of gangs on a machine exit that miss one of the others for too
// long: gang_peer_s once the gang was whole, gang_wait_s before.
func (w *world) tendGangs(f *fakeWorker) (changed bool) {
	p := w.cfg[w.names[0]].Params.Workers
	for i, t := range f.Tasks {
		id, _, _ := job.SplitTask(t.Task)
		s, key := w.specs[id], taskAttempt{t.Task, t.Attempt}
		if s == nil || s.Kind != job.Gang || t.State == protocol.Exited || w.completed[t.Task] {
			continue
		}
		there, done := w.ofAttempt(id, t.Attempt)
		switch since, misses := f.alone[key]; {
		case done:
			// They complete together.
			f.running[key] = min(f.running[key], w.now)
		case there == s.Tasks:
			delete(f.alone, key)
		case !misses:
			f.alone[key] = w.now
		case w.now-since > seconds(p.GangPeerS) && w.whole[taskAttempt{id, t.Attempt}] || w.now-since > seconds(p.GangWaitS):
			f.Tasks[i].State, f.Tasks[i].Why = protocol.Exited, "mates_gone"
			changed = true
		}
		if there == s.Tasks {
			w.whole[taskAttempt{id, t.Attempt}] = true
		}
	}
	return changed
}

// complete notes that a task has ended by itself. The tasks of a gang complete together, and
// the results are kept: one that is started again has nothing left to do.
func (w *world) complete(task string) {
	w.completed[task] = true
	id, _, _ := job.SplitTask(task)
	if s := w.specs[id]; s != nil && s.Kind == job.Gang {
		for n := range s.Tasks {
			w.completed[s.TaskID(n)] = true
		}
	}
}

// ofAttempt counts the tasks of an attempt that are on machines, and tells whether one has
// completed.
func (w *world) ofAttempt(id string, attempt uint64) (there int, done bool) {
	for _, f := range w.workers {
		for _, t := range f.Tasks {
			if t.Attempt != attempt || !strings.HasPrefix(t.Task, id+"/") {
				continue
			}
			if t.State != protocol.Exited {
				there++
			}
			done = done || t.Why == protocol.WhyDone
		}
	}
	return there, done
}

// checkPlace checks that a job's task may start on a machine, given where its other tasks
// are.
func (w *world) checkPlace(f *fakeWorker, id string) {
	s := w.specs[id]
	if s == nil {
		return
	}
	if !s.Allows(f.Type, f.Zone, f.Spot) {
		w.t.Errorf("%v: a task of %s starts on %s, a %s in %s (spot %v)", w.now, id, f.Machine, f.Type, f.Zone, f.Spot)
	}
	zones := w.zonesWith(id)
	if zones[f.Zone]++; s.OneZone && len(zones) > 1 {
		w.t.Errorf("%v: tasks of %s are in zones %v", w.now, id, zones)
	}
	if s.Spread && zones[f.Zone] > (s.Tasks+1)/2 {
		w.t.Errorf("%v: %d of %d tasks of %s are in zone %s", w.now, zones[f.Zone], s.Tasks, id, f.Zone)
	}
}

// zonesWith counts the tasks of a job that are on machines, by zone.
func (w *world) zonesWith(id string) map[string]int {
	out := map[string]int{}
	for _, g := range w.workers {
		for _, t := range g.Tasks {
			if !g.dead && strings.HasPrefix(t.Task, id+"/") && t.State != protocol.Exited {
				out[g.Zone]++
			}
		}
	}
	return out
}

// inUse sums the CPUs of a team's tasks that are on machines.
func (w *world) inUse(team string) float64 {
	sum := 0.0
	for _, f := range w.workers {
		sum += w.loadOf(f, team).CPUs
	}
	return sum
}

// loadOf is what tasks take of a machine, those of one team or of all.
func (w *world) loadOf(f *fakeWorker, team string) (sum job.Resources) {
	for _, t := range f.Tasks {
		id, _, _ := job.SplitTask(t.Task)
		if s := w.specs[id]; s != nil && t.State != protocol.Exited && (team == "" || s.Team == team) {
			sum = sum.Plus(s.Need, 1)
		}
	}
	return sum
}

// hasRoom tells whether machines have room for what a job needs at once, and its team is
// under its limit.
func (w *world) hasRoom(s *job.Spec) bool {
	n, zones := s.AtOnce(), w.zonesWith(s.ID)
	for _, t := range w.cfg[w.names[0]].Params.Teams {
		if t.Name == s.Team && t.CPUsMax > 0 && w.inUse(t.Name)+float64(n)*s.Need.CPUs > t.CPUsMax {
			return false
		}
	}
	free := map[string]int{}
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		f := w.workers[id]
		if f.dead || w.hangs(id) || !s.Allows(f.Type, f.Zone, f.Spot) || s.OneZone && len(zones) > 0 && zones[f.Zone] == 0 {
			continue
		}
		room := w.sizeOf(f.Type).Plus(w.loadOf(f, ""), -1)
		for s.Need.Fits(room) {
			room = room.Plus(s.Need, -1)
			free[f.Zone]++
		}
	}
	most, sum := 0, 0
	for zone, k := range free {
		if s.Spread {
			k = min(k, (s.Tasks+1)/2-zones[zone])
		}
		most, sum = max(most, k), sum+k
	}
	if s.OneZone {
		return most >= n
	}
	return sum >= n
}

func (w *world) sizeOf(typ string) job.Resources {
	for _, t := range w.types {
		if t.Name == typ {
			return capacity(t)
		}
	}
	return job.Resources{}
}

// turnsDown tells why a worker refuses a start: there is no room, or the task is there with
// another attempt.
func (w *world) turnsDown(f *fakeWorker, task string) string {
	id, _, _ := job.SplitTask(task)
	s := w.specs[id]
	if s == nil {
		return ""
	}
	if slices.ContainsFunc(f.Tasks, func(t protocol.TaskReport) bool { return t.Task == task && t.State != protocol.Exited }) {
		return protocol.WhyBusy
	}
	if room := w.sizeOf(f.Type).Plus(w.loadOf(f, ""), -1); !s.Need.Fits(room) {
		return protocol.WhyNoRoom
	}
	return ""
}
