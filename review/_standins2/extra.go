package main

import "time"

// Scenarios that are not cases: the rule is broken in them without any disruption.
func init() {
	cases["extra-reserved"] = extraReserved
	cases["extra-low"] = extraLow
	cases["extra-accelerators"] = extraAccelerators
}

// watchLast submits some jobs, a few seconds apart, and then watches the last one, on a site whose cloud
// has one machine.
func (r *caseRun) watchLast(t *machineType, jobs ...*jobSpec) verdict {
	cfg := jadran()
	cfg.types = []*machineType{t}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	last := len(jobs) - 1
	for i, j := range jobs {
		if !w.submit(j) {
			return couldNot
		}
		if i < last {
			wait(w.ctx, 6*time.Second)
		}
	}
	if w.starved(jobs[last].UID, 90*time.Second, func(string) bool { return true }) {
		return broken
	}
	if len(w.errs) > 0 {
		return couldNot
	}
	return held
}

func onlySmall() *machineType {
	return &machineType{name: "mala-kutija", cpus: 4, memoryGB: 8, price: 0.2, spotPrice: 0.07, bootS: 2, count: map[string]int{"split-podrum": 1}}
}

// extraReserved: a job that needs the whole machine waits behind a long one of 1 CPU, and a job of 2 CPUs waits
// next to 3 free ones.
func extraReserved(r *caseRun) verdict {
	job := func(id, crew string, cpus, guess float64) *jobSpec {
		return &jobSpec{UID: id, LeverClass: "poruke-dnevne", Crew: crew, Shape: "batch", Urgency: "normal", Pieces: 1, VCPUs: cpus, MemoryGB: 1, Bundle: "img-01", GuessS: guess}
	}
	return r.watchLast(onlySmall(), job("req-000001", "dezurni", 1, 600), job("req-000003", "racunovodstvo", 4, 30), job("req-000002", "dezurni", 2, 30))
}

// extraLow: a job of the lowest priority that may use cheap machines waits next to 3 free CPUs of an ordinary
// one.
func extraLow(r *caseRun) verdict {
	return r.watchLast(onlySmall(),
		&jobSpec{UID: "req-000001", LeverClass: "poruke-dnevne", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 1, VCPUs: 1, MemoryGB: 1, Bundle: "img-01", GuessS: 600},
		&jobSpec{UID: "req-000002", LeverClass: "nocni-ostaci", Crew: "dezurni", Shape: "batch", Urgency: "low", Pieces: 1, VCPUs: 1, MemoryGB: 1, Bundle: "img-01", GuessS: 60, Loaners: true})
}

// extraAccelerators: a job without accelerators waits next to an empty machine that has some, after a short job
// that used one is done.
func extraAccelerators(r *caseRun) verdict {
	return r.watchLast(&machineType{name: "srednja-mreza", cpus: 16, gpus: 2, memoryGB: 64, price: 3.85, spotPrice: 1.52, bootS: 2, count: map[string]int{"split-podrum": 1}},
		&jobSpec{UID: "req-000001", LeverClass: "ucenje", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 1, VCPUs: 1, Accel: 1, MemoryGB: 1, Bundle: "img-01", GuessS: 1},
		&jobSpec{UID: "req-000002", LeverClass: "poruke-dnevne", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 1, VCPUs: 2, MemoryGB: 1, Bundle: "img-01", GuessS: 30})
}
