package main

import (
	"time"
)

func init() { cases["told-alone"] = toldAlone }

// jadranFleet returns a deployment with the settings of jadran-voicemail-fleet, with three controllers.
func jadranFleet() *config {
	cfg := jadran()
	cfg.site, cfg.reportS, cfg.restartS = "jadran-fleet", 6, 0.3
	return cfg
}

// setLinks sets what the links between all controllers do.
func (w *world) setLinks(mode linkMode) {
	for _, row := range w.links {
		for _, l := range row {
			if l != nil {
				l.set(mode)
			}
		}
	}
}

// toldAlone: a controller crashes and is back while connections between controllers are refused. A user
// cancels there, the state service stores it and is down from then on, and the controller crashes again.
func toldAlone(r *caseRun) verdict {
	cfg := jadranFleet()
	cfg.types = []*machineType{{name: "mala-kutija", cpus: 4, memoryGB: 8, price: 0.2, spotPrice: 0.07, bootS: 2,
		count: map[string]int{"split-podrum": 1, "rijeka-soba": 1, "zagreb-ormar": 1}}}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	j := &jobSpec{UID: "req-000001", LeverClass: "oznake-govornika", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 3,
		VCPUs: 4, MemoryGB: 5.4, Bundle: "img-01", PullGB: 1.5, GuessS: 180}
	if !w.submit(j) || !w.await(30*time.Second, func() bool { return len(w.fleet.machinesOf(j.UID)) == 3 }) {
		w.fail("the job did not start")
		return couldNot
	}
	const alone = 0
	if r.trouble {
		r.rec.add("TROUBLE begins: new connections between controllers are refused")
		w.setLinks(refusingNew)
		w.state.mu.Lock()
		w.state.downAfterCancel = true
		w.state.mu.Unlock()
		w.crash(alone)
		wait(w.ctx, time.Second)
	}
	// The load balancer counts a node as healthy again after two good probes, a second apart.
	c := w.ctrls[alone]
	if !w.await(20*time.Second, c.healthy.Load) {
		w.fail("the controller is not back")
		return couldNot
	}
	wait(w.ctx, time.Second)
	if !c.healthy.Load() {
		w.fail("the controller is not healthy")
		return couldNot
	}
	status, state, text := w.request(c, "POST", "/work/"+j.UID+"/withdraw", nil, 5*time.Second)
	r.rec.add("user %s: %s withdraw -> %d %s", j.UID, c.node, status, text)
	if r.trouble {
		w.crash(alone)
		w.setLinks(passing)
		r.rec.add("TROUBLE ends: connections between controllers are accepted again")
	}
	if status != 200 || state.State != "cancelled" {
		r.rec.add("the cancellation is not confirmed")
		return held
	}
	told := time.Now()
	for time.Since(told).Seconds() < cfg.cancelS+2 {
		if w.ctx.Err() != nil {
			w.fail("time is over")
			return couldNot
		}
		if !r.trouble && len(w.fleet.machinesOf(j.UID)) == 0 {
			r.rec.add("no task is left")
			return held
		}
		wait(w.ctx, 200*time.Millisecond)
	}
	on := w.fleet.machinesOf(j.UID)
	r.rec.add("%.1f s after the confirmation (cancel_s is %.0f) tasks of %s are on %v", time.Since(told).Seconds(), cfg.cancelS, j.UID, on)
	if len(on) > 0 {
		r.rec.add("BROKEN: tasks of a cancelled job are on machines")
		return broken
	}
	return held
}
