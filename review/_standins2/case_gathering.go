package main

import "time"

func init() { cases["gathering"] = gathering }

// gathering: a machine stops with all that is on it, and the cloud has no other. What is left is too little
// for a gang while long jobs run, yet free room is reserved for the gang, and no other job gets it.
func gathering(r *caseRun) verdict {
	cfg := jadran()
	cfg.teams = []team{{Name: "lingvisti", CPUs: 64, CPUsMax: 112}, {Name: "dezurni", CPUs: 64, CPUsMax: 192}}
	cfg.types = []*machineType{{name: "mala-kutija", cpus: 4, memoryGB: 8, price: 0.2, spotPrice: 0.07, bootS: 2,
		count: map[string]int{"split-podrum": 2, "rijeka-soba": 1, "zagreb-ormar": 1}}}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	// Long jobs take one machine whole, and a CPU on each of the others.
	whole := &jobSpec{UID: "req-000001", LeverClass: "poruke-dnevne", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 1,
		VCPUs: 4, MemoryGB: 8, Bundle: "img-01", PullGB: 1.2, GuessS: 600}
	parts := &jobSpec{UID: "req-000002", LeverClass: "poruke-dnevne", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 3,
		VCPUs: 1, MemoryGB: 5, Bundle: "img-01", PullGB: 1.2, GuessS: 600}
	if !w.submit(whole) || !w.submit(parts) {
		return couldNot
	}
	if !w.await(30*time.Second, func() bool { return w.fleet.startsOf(whole.UID) >= 1 && w.fleet.startsOf(parts.UID) >= 3 }) {
		w.fail("the long jobs did not start")
		return couldNot
	}
	gang := &jobSpec{UID: "req-000003", LeverClass: "dijalekti", Crew: "lingvisti", Shape: "group", Urgency: "normal", Pieces: 3,
		VCPUs: 3, MemoryGB: 2, Bundle: "img-02", PullGB: 1.5, GuessS: 20}
	accepted := time.Now()
	if !w.submit(gang) || !w.await(30*time.Second, func() bool { return len(w.fleet.machinesOf(gang.UID)) == 3 }) {
		w.fail("the gang did not start")
		return couldNot
	}
	if r.trouble {
		w.cloud.die(w.fleet.machinesOf(gang.UID)[0])
	}
	if !w.await(40*time.Second, func() bool { return len(w.fleet.machinesOf(gang.UID)) == 0 }) {
		w.fail("the gang did not end")
		return couldNot
	}
	wait(w.ctx, 17*time.Second-time.Since(accepted))
	array := &jobSpec{UID: "req-000004", LeverClass: "hitne-poruke", Crew: "dezurni", Shape: "batch", Urgency: "urgent", Pieces: 2,
		VCPUs: 2, MemoryGB: 1.3, Bundle: "img-03", PullGB: 1.5, GuessS: 15}
	if !w.submit(array) {
		return couldNot
	}
	if w.starved(array.UID, 90*time.Second, func(string) bool { return true }) {
		r.rec.add("BROKEN: %s waited for 90 s while a machine that fits had room and its team was under its limit", array.UID)
		return broken
	}
	if len(w.errs) > 0 {
		return couldNot
	}
	return held
}
