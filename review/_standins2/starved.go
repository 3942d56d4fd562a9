package main

import (
	"slices"
	"time"
)

// kelani returns a deployment with the settings of kelani-buildfarm.
func kelani() *config {
	return &config{site: "kelani", controllers: 3, zones: []string{"galle-rack", "colombo-hall", "kandy-room"},
		reportS: 1.5, leaseS: 12, gangWaitS: 35, gangPeerS: 4, cancelS: 32,
		rps: 200, writeRPS: 20, valueKB: 4, txnOps: 8, cloudRPS: 2, listLagS: 10,
		cpu: 0.18, memoryMB: 98, maxConnections: 1000, restartS: 3,
		teams: []team{{Name: "oncall-crew-0"}, {Name: "oncall-crew-1"}}}
}

// jadran returns a deployment with the settings of jadran-voicemail.
func jadran() *config {
	return &config{site: "jadran", controllers: 3, zones: []string{"split-podrum", "rijeka-soba", "zagreb-ormar"},
		reportS: 3, leaseS: 26, gangWaitS: 45, gangPeerS: 8, cancelS: 51,
		rps: 150, writeRPS: 40, valueKB: 8, txnOps: 16, cloudRPS: 8, listLagS: 8,
		cpu: 0.24, memoryMB: 234, maxConnections: 2000, restartS: 8,
		teams: []team{{Name: "racunovodstvo", CPUs: 24, CPUsMax: 64}, {Name: "dezurni", CPUs: 64, CPUsMax: 192}}}
}

// open opens the site of a case and starts its controllers.
func (r *caseRun) open(cfg *config) (*world, verdict) {
	w, err := openWorld(r.ctx, cfg, r.root, r.dir, r.rec)
	if err != nil {
		r.rec.add("COULD NOT RUN: %v", err)
		return nil, couldNot
	}
	if err := w.startControllers(); err != nil {
		r.rec.add("COULD NOT RUN: %v", err)
		w.close()
		return nil, couldNot
	}
	return w, held
}

// await polls a condition until it holds or the time is over.
func (w *world) await(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end) && w.ctx.Err() == nil; wait(w.ctx, 100*time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// starved watches a job for up to d. It reports whether the job had no task on any machine for all
// that time, while at each look its team was under its limit and a machine that fits had room for a task.
func (w *world) starved(id string, d time.Duration, fits func(typ string) bool) bool {
	j := w.job(id)
	began, looks, lastPoll := time.Now(), 0, time.Time{}
	for time.Since(began) < d {
		if w.ctx.Err() != nil {
			w.fail("time is over")
			return false
		}
		if len(w.fleet.machinesOf(id)) > 0 || w.fleet.startsOf(id) > 0 {
			w.rec.add("%s has started", id)
			return false
		}
		var room []string
		for name, free := range w.fleet.free() {
			w.fleet.mu.Lock()
			a := w.fleet.workers[name]
			w.fleet.mu.Unlock()
			if a != nil && fits(a.typ.name) && free[0] >= j.VCPUs && free[1] >= j.MemoryGB {
				room = append(room, name)
			}
		}
		slices.Sort(room)
		usage := w.fleet.usage(j.Crew)
		under := usage+j.VCPUs <= w.cfg.limitOf(j.Crew)
		if looks%50 == 0 {
			w.rec.add("look: %s waits for %.0f s; its team uses %.1f of %.0f CPUs; room on %v", id, time.Since(began).Seconds(), usage, w.cfg.limitOf(j.Crew), room)
		}
		if !under || len(room) == 0 {
			w.rec.add("%s has no claim to start now: team under its limit %v, room on %v", id, under, room)
			began = time.Now()
		}
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			w.poll(id)
		}
		looks++
		wait(w.ctx, 200*time.Millisecond)
	}
	return true
}
