package main

import "time"

func init() { cases["headroom"] = headroom }

// headroom: a machine stops with all that is on it, and the cloud has no other. The array's tasks that were
// on it fit on an empty machine, which is kept free for replicas of a service that nobody asks for.
func headroom(r *caseRun) verdict {
	cfg := jadran()
	cfg.teams = []team{{Name: "lucki-stol", CPUs: 64, CPUsMax: 192}, {Name: "dezurni", CPUs: 64, CPUsMax: 192}}
	cfg.types = []*machineType{{name: "mala-kutija", cpus: 4, memoryGB: 8, price: 0.2, spotPrice: 0.07, bootS: 2,
		count: map[string]int{"split-podrum": 1, "rijeka-soba": 1, "zagreb-ormar": 1}}}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	service := &jobSpec{UID: "req-000001", LeverClass: "radio-straza", Crew: "lucki-stol", Shape: "service", Urgency: "urgent", Pieces: 2,
		VCPUs: 2, MemoryGB: 4, Bundle: "img-01", PullGB: 1.2}
	if !w.submit(service) || !w.await(30*time.Second, func() bool { return w.fleet.startsOf(service.UID) >= 2 }) {
		w.fail("the service did not start")
		return couldNot
	}
	array := &jobSpec{UID: "req-000002", LeverClass: "hitne-poruke", Crew: "dezurni", Shape: "batch", Urgency: "urgent", Pieces: 4,
		VCPUs: 1, MemoryGB: 1.3, Bundle: "img-02", PullGB: 1.5, GuessS: 25}
	if !w.submit(array) || !w.await(30*time.Second, func() bool { return w.fleet.startsOf(array.UID) == 4 }) {
		w.fail("the array did not start")
		return couldNot
	}
	wait(w.ctx, 3*time.Second)
	if !r.trouble {
		if w.await(60*time.Second, func() bool { _, s := w.poll(array.UID); wait(w.ctx, 2*time.Second); return s.State == "done" }) {
			return held
		}
		return couldNot
	}
	on := w.fleet.machinesOf(array.UID)
	if len(on) != 1 {
		w.fail("the array is on %v", on)
		return couldNot
	}
	w.cloud.die(on[0])
	before := w.fleet.startsOf(array.UID)
	w.fleet.mu.Lock()
	for _, task := range []string{"/0", "/1", "/2", "/3"} {
		delete(w.fleet.starts, array.UID+task)
	}
	w.fleet.mu.Unlock()
	r.rec.add("the array had %d starts before", before)
	if w.starved(array.UID, 90*time.Second, func(string) bool { return true }) {
		r.rec.add("BROKEN: %s waited for 90 s while a machine that fits had room and its team was under its limit", array.UID)
		return broken
	}
	if len(w.errs) > 0 {
		return couldNot
	}
	return held
}
