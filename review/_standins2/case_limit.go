package main

import "time"

func init() { cases["team-demand"] = teamDemand }

// teamDemand: jobs of a class come several times as often. They need the only large machine, so all
// but the first wait. A small job of the same team fits a small machine, and its team is under its limit.
func teamDemand(r *caseRun) verdict {
	cfg := jadran()
	cfg.types = []*machineType{
		{name: "mala-kutija", cpus: 4, memoryGB: 8, price: 0.2, spotPrice: 0.07, bootS: 2, count: map[string]int{"split-podrum": 1, "rijeka-soba": 1}},
		{name: "velika-pec", cpus: 32, memoryGB: 256, price: 2.3, spotPrice: 0.92, bootS: 2, count: map[string]int{"split-podrum": 1}},
	}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	// The team of the small machine's tenant has nothing to do with the others.
	tenant := &jobSpec{UID: "req-000001", LeverClass: "hitne-poruke", Crew: "dezurni", Shape: "batch", Urgency: "urgent", Pieces: 1,
		VCPUs: 1, MemoryGB: 1.3, Bundle: "img-01", PullGB: 1.5, Builds: []string{"mala-kutija"}, GuessS: 600}
	large := func(id string) *jobSpec {
		return &jobSpec{UID: id, LeverClass: "poruke-dnevne", Crew: "racunovodstvo", Shape: "batch", Urgency: "normal", Pieces: 1,
			VCPUs: 32, MemoryGB: 34, Bundle: "img-02", PullGB: 3.5, GuessS: 150}
	}
	small := &jobSpec{UID: "req-000009", LeverClass: "oznake-govornika", Crew: "racunovodstvo", Shape: "batch", Urgency: "normal", Pieces: 1,
		VCPUs: 2, MemoryGB: 2.7, Bundle: "img-03", PullGB: 1.5, GuessS: 300}
	if !w.submit(tenant) || !w.submit(large("req-000002")) {
		return couldNot
	}
	if !w.await(30*time.Second, func() bool { return w.fleet.startsOf("req-000001") > 0 && w.fleet.startsOf("req-000002") > 0 }) {
		w.fail("the first jobs did not start")
		return couldNot
	}
	if r.trouble {
		r.rec.add("TROUBLE begins: poruke-dnevne comes three times as often")
		if !w.submit(large("req-000003")) || !w.submit(large("req-000004")) {
			return couldNot
		}
		r.rec.add("TROUBLE ends: poruke-dnevne comes as often as before")
	}
	if !w.submit(small) {
		return couldNot
	}
	if w.starved(small.UID, 90*time.Second, func(typ string) bool { return true }) {
		r.rec.add("BROKEN: %s waited for 90 s while a machine that fits had room and its team was under its limit", small.UID)
		return broken
	}
	if len(w.errs) > 0 {
		return couldNot
	}
	return held
}
