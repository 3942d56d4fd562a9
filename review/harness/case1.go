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
	job := func(id, class, crew string, pieces int, vcpus float64) *jobSpec {
		return &jobSpec{UID: id, LeverClass: class, Crew: crew, Shape: "batch", Urgency: "normal", Pieces: pieces, VCPUs: vcpus, MemoryGB: 1, Bundle: "img-01", PullGB: 0.2, GuessS: 3, Loaners: true}
	}
	var ids []string
	submit := func(j *jobSpec) {
		if !s.submit(j, len(ids)) {
			s.fatal("%s wasn't accepted", j.UID)
		}
		s.rec("user: %s accepted (%d tasks of %v CPUs)", j.UID, j.Pieces, j.VCPUs)
		ids = append(ids, j.UID)
	}
	const jobs = 4
	began := time.Now()
	for n := range jobs {
		submit(job(fmt.Sprintf("req-%06d", n+1), "test-suites", "oncall-crew-0", 11, 0.6666667))
		if !s.trouble { // the usual rate: one ends before the next comes
			s.awaitDone(ids[n], 20*time.Second)
		}
	}
	time.Sleep(5 * time.Second)
	submit(job("req-000100", "security-rebuilds", "oncall-crew-1", 2, 2)) // other work, of another team
	client := &http.Client{Timeout: time.Second}
	end := began.Add(100 * time.Second)
	if !s.trouble {
		end = time.Now().Add(20 * time.Second)
	}
	for time.Now().Before(end) && s.finished() < jobs+1 {
		for _, n := range s.nodes {
			status, _ := post(client, n.user, "/up", nil)
			s.rec("load balancer: GET /up at %s: %d", n.name, status)
		}
		for _, id := range ids {
			s.poll(id, s.nodes[1])
			status, in := s.poll(id, s.nodes[2])
			s.rec("user: GET /work/%s: %d %q done %d running %d", id, status, in.Stance, in.Done, in.Running)
		}
		time.Sleep(5 * time.Second)
	}
	if s.startCount() == 0 {
		s.breaks("nothing_ran", "no task was started in %.0f s; %d jobs are accepted, the cloud has machines for them", time.Since(began).Seconds(), len(ids))
	}
	s.finish("nothing_ran")
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
