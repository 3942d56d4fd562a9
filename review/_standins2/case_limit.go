package main

import "time"

func init() { cases["team-demand"] = teamDemand }

// teamDemand: jobs of a class come three times as often. They need the only large machine, so all but the first
// wait. A small job of the same team fits on a small machine, and its team is far under its limit. The amounts,
// sizes and times are those of the classes of the site.
func teamDemand(r *caseRun) verdict {
	cfg := jadran()
	cfg.teams = []team{{Name: "dezurni", CPUs: 64, CPUsMax: 192}, {Name: "zdravstvo", CPUs: 56, CPUsMax: 112}}
	cfg.types = []*machineType{
		{name: "mala-kutija", cpus: 4, memoryGB: 8, price: 0.2, spotPrice: 0.07, bootS: 2, spot: map[string]int{"rijeka-soba": 1}},
		{name: "velika-pec", cpus: 32, memoryGB: 256, price: 2.3, spotPrice: 0.92, bootS: 2, spot: map[string]int{"split-podrum": 1}},
	}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	// Another team's short jobs keep the small machine up, one after the other.
	tenant := func(id string) *jobSpec {
		return &jobSpec{UID: id, LeverClass: "hitne-poruke", Crew: "zdravstvo", Shape: "batch", Urgency: "urgent", Pieces: 1,
			VCPUs: 1, MemoryGB: 1.3, Bundle: "img-01", PullGB: 1.5, Builds: []string{"mala-kutija"}, Loaners: true, GuessS: 80}
	}
	large := func(id string, tasks int64) *jobSpec {
		return &jobSpec{UID: id, LeverClass: "poruke-dnevne", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: tasks,
			VCPUs: 16, MemoryGB: 17, Bundle: "img-02", PullGB: 3.5, Loaners: true, GuessS: 60}
	}
	due := 2*180.0 + 10
	small := &jobSpec{UID: "req-000009", LeverClass: "oznake-govornika", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 1,
		VCPUs: 2, MemoryGB: 5, Bundle: "img-03", PullGB: 1.5, Loaners: true, GuessS: 180, DueS: &due}
	if !w.submit(tenant("req-000001")) || !w.submit(large("req-000002", 2)) {
		return couldNot
	}
	if !w.await(30*time.Second, func() bool { return w.fleet.startsOf("req-000001") == 1 && w.fleet.startsOf("req-000002") == 2 }) {
		w.fail("the first jobs did not start")
		return couldNot
	}
	go func() {
		wait(w.ctx, 77*time.Second)
		w.submit(tenant("req-000010"))
	}()
	// The class comes 3 times a minute. Three times as often is every 6.7 s.
	const burstInterval = 6700 * time.Millisecond
	if r.trouble {
		r.rec.add("TROUBLE begins: poruke-dnevne comes three times as often")
	}
	for _, id := range []string{"req-000003", "req-000004"} {
		if r.trouble && !w.submit(large(id, 6)) {
			return couldNot
		}
		wait(w.ctx, burstInterval)
	}
	if r.trouble {
		r.rec.add("TROUBLE ends: poruke-dnevne comes as often as before")
	}
	if !w.submit(small) {
		return couldNot
	}
	if w.starved(small.UID, 90*time.Second, func(string) bool { return true }) {
		r.rec.add("BROKEN: %s waited for 90 s while a machine that fits had room and its team was under its limit", small.UID)
		return broken
	}
	if len(w.errs) > 0 {
		return couldNot
	}
	return held
}
