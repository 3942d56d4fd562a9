package main

import "time"

func init() { cases["wide-gang"] = wideGang }

// wideGang: for a while the cloud has fewer large machines, so a gang gets more small ones than a
// transaction may have conditions. With the usual machines the same gang starts.
func wideGang(r *caseRun) verdict {
	cfg := kelani()
	cfg.types = []*machineType{
		{name: "sixteen-builder", cpus: 16, memoryGB: 64, price: 0.97, spotPrice: 0.38, bootS: 2,
			count: map[string]int{"colombo-hall": 6, "kandy-room": 6}, spot: map[string]int{"colombo-hall": 11, "kandy-room": 10}},
		{name: "sixty-four-forge", cpus: 64, memoryGB: 128, price: 3.67, spotPrice: 1.36, bootS: 2,
			count: map[string]int{"kandy-room": 4}, spot: map[string]int{"kandy-room": 5}},
	}
	w, v := r.open(cfg)
	if w == nil {
		return v
	}
	defer w.close()
	over := time.Now()
	if r.trouble {
		const lasts = 12 * time.Second
		w.cloud.reduce("sixty-four-forge", "kandy-room", 0.3, 0.5, lasts)
		over = time.Now().Add(lasts)
	}
	gang := &jobSpec{UID: "req-000001", LeverClass: "package-builds", Crew: "oncall-crew-0", Shape: "group", Urgency: "normal", Pieces: 44,
		VCPUs: 12, MemoryGB: 20, Bundle: "img-01", PullGB: 2, Loaners: true, GuessS: 15}
	if !w.submit(gang) {
		return couldNot
	}
	started := func() bool { return w.fleet.startsOf(gang.UID) >= 44 }
	room := func() int {
		n := 0
		for _, free := range w.fleet.free() {
			n += min(int(free[0]/gang.VCPUs), int(free[1]/gang.MemoryGB))
		}
		return n
	}
	since, lastPoll, lastLook := time.Time{}, time.Now(), time.Time{}
	for {
		switch {
		case w.ctx.Err() != nil:
			w.fail("time is over")
			return couldNot
		case started():
			r.rec.add("the gang has started")
			if w.await(60*time.Second, func() bool { _, s := w.poll(gang.UID); wait(w.ctx, 2*time.Second); return s.State == "done" }) {
				return held
			}
			return couldNot
		case room() < 44 || time.Now().Before(over):
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
			r.rec.add("the troubles are over, and the machines that are up have room for the whole gang")
		case time.Since(since) > 90*time.Second:
			r.rec.add("BROKEN: %s waited for 90 s while machines that fit had room for all of its tasks", gang.UID)
			return broken
		}
		if time.Since(lastPoll) > 5*time.Second {
			lastPoll = time.Now()
			w.poll(gang.UID)
		}
		if time.Since(lastLook) > 10*time.Second {
			lastLook = time.Now()
			r.rec.add("look: %d machines up, room for %d of 44 tasks, %d started", len(w.fleet.free()), room(), w.fleet.startsOf(gang.UID))
		}
		wait(w.ctx, 200*time.Millisecond)
	}
}
