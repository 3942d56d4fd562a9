package main

import (
	"fmt"
	"net/http"
	"time"
)

// burst: jobs of a class come several times as often as usual. Their tasks take two thirds of a CPU
// each, 0.6666667.
func burst() {
	s := newSite(kelani(), 3)
	for _, n := range s.nodes {
		if !s.awaitUp(n, 20*time.Second) {
			s.fatal("%s isn't healthy", n.name)
		}
	}
	job := func(id, class, crew string, pieces int, vcpus, seconds float64) *jobSpec {
		return &jobSpec{UID: id, LeverClass: class, Crew: crew, Shape: "batch", Urgency: "normal", Pieces: pieces, VCPUs: vcpus, MemoryGB: 1, Bundle: "img-01", PullGB: 0.2, GuessS: seconds, Loaners: true}
	}
	var ids []string
	submit := func(j *jobSpec) {
		if !s.submit(j, len(ids)) {
			s.fatal("%s wasn't accepted", j.UID)
		}
		s.rec("user: %s accepted (%d tasks of %v CPUs)", j.UID, j.Pieces, j.VCPUs)
		ids = append(ids, j.UID)
	}
	// Work that keeps a machine of 16 CPUs up, with 14 of them free.
	if !s.submit(job("req-000900", "package-builds", "oncall-crew-1", 1, 2, 300), 1) {
		s.fatal("the first job wasn't accepted")
	}
	for until := time.Now().Add(20 * time.Second); s.startCount() == 0; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			s.fatal("the first job didn't start")
		}
	}
	const jobs = 6
	for n := range jobs {
		submit(job(fmt.Sprintf("req-%06d", n+1), "test-suites", "oncall-crew-0", 11, 0.6666667, 3))
		if !s.trouble { // the usual rate: one ends before the next comes
			s.awaitDone(ids[n], 20*time.Second)
		}
	}
	time.Sleep(2 * time.Second)
	submit(job("req-000100", "security-rebuilds", "oncall-crew-0", 2, 2, 3)) // an ordinary job
	client := &http.Client{Timeout: time.Second}
	waiting := map[string]time.Time{} // since when a job waits next to room
	for until := time.Now().Add(100 * time.Second); time.Now().Before(until) && s.finished() < jobs+1 && s.brokenCount("left_waiting") == 0; time.Sleep(time.Second) {
		for _, n := range s.nodes {
			status, _ := post(client, n.user, "/up", nil)
			s.rec("load balancer: GET /up at %s: %d", n.name, status)
		}
		for _, id := range ids {
			status, in := s.poll(id, s.nodes[2])
			s.rec("user: GET /work/%s at hand-2: %d %q done %d running %d", id, status, in.Stance, in.Done, in.Running)
			machine := s.machineWithRoom(s.jobOf(id))
			if machine == "" || s.wasStarted(id) {
				delete(waiting, id)
				continue
			}
			if _, ok := waiting[id]; !ok {
				waiting[id] = time.Now()
			}
			if waited := time.Since(waiting[id]); waited > 90*time.Second {
				s.breaks("left_waiting", "%s has waited for %.0f s and no task of it was started, while %s has room; its team has no limit", id, waited.Seconds(), machine)
			}
		}
	}
	s.finish("left_waiting")
}

func (s *Site) brokenCount(rule string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken[rule]
}

// wasStarted reports whether a task of a job was ever on a machine.
func (s *Site) wasStarted(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started[id]
}

// machineWithRoom returns a machine that has room for a task of a job, or "".
func (s *Site) machineWithRoom(j *jobSpec) string {
	s.mu.Lock()
	var workers []*Worker
	for _, w := range s.workers {
		workers = append(workers, w)
	}
	s.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		free, freeGB := w.typ.CPUs, w.typ.MemoryGB
		for _, t := range w.tasks {
			if t.Stance != "exited" && t.job != nil {
				free, freeGB = free-t.job.VCPUs, freeGB-t.job.MemoryGB
			}
		}
		w.mu.Unlock()
		if free >= j.VCPUs && freeGB >= j.MemoryGB {
			return w.r.Hand
		}
	}
	return ""
}

// awaitDone waits until a job's user is told that it is done.
func (s *Site) awaitDone(id string, limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if _, in := s.poll(id, s.nodes[1]); in.Stance == "done" {
			return
		}
	}
	s.rec("%s isn't done after %v", id, limit)
}

// finished counts the jobs of which a user was told that they are done.
func (s *Site) finished() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.told {
		if state == "done" {
			n++
		}
	}
	return n
}
