package main

import "time"

func init() { cases["extra-hangs"] = extraHangs }

// extraHangs: an entry of KNOWN-RED.txt within the pages' limits. A machine hangs for 30 s, longer than its
// lease; the cloud refuses, and the state service refuses one controller. A job on it is cancelled.
func extraHangs(r *caseRun) verdict {
	cfg := kelani()
	cfg.types = []*machineType{{name: "sixteen-builder", cpus: 16, memoryGB: 64, price: 0.97, spotPrice: 0.38, bootS: 2, count: map[string]int{"galle-rack": 2}}}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	j := &jobSpec{UID: "req-000001", LeverClass: "test-suites", Crew: "oncall-crew-0", Shape: "batch", Urgency: "normal", Pieces: 2,
		VCPUs: 16, MemoryGB: 6, Bundle: "img-01", PullGB: 1.2, GuessS: 300}
	if !w.submit(j) || !w.await(30*time.Second, func() bool { return len(w.fleet.machinesOf(j.UID)) == 2 }) {
		w.fail("the job did not start")
		return couldNot
	}
	wait(w.ctx, 2*time.Second)
	if r.trouble {
		w.cloud.setDown(true)
		w.state.setRefused(0, true)
		for _, name := range w.fleet.machinesOf(j.UID) {
			w.fleet.hang(name, 30*time.Second)
		}
	}
	state, ok := w.withdraw(j.UID)
	if !ok || state != "cancelled" {
		return held
	}
	told := time.Now()
	wait(w.ctx, time.Duration((cfg.cancelS+0.2)*float64(time.Second)))
	on := w.fleet.machinesOf(j.UID)
	r.rec.add("%.1f s after the confirmation tasks are on %v", time.Since(told).Seconds(), on)
	if len(on) > 0 {
		return broken
	}
	return held
}
