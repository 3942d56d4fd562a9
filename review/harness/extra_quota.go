package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// submitMany submits n jobs over some seconds, within the state service's rate.
func (s *Site) submitMany(n int, spec func(i int) *jobSpec) {
	var group sync.WaitGroup
	numbers := make(chan int)
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range numbers {
				s.submit(spec(i), i)
			}
		}()
	}
	for i := range n {
		numbers <- i
		time.Sleep(36 * time.Millisecond)
	}
	close(numbers)
	group.Wait()
}

// leaderOf returns the controller that the state service shows as a team's leader.
func (s *Site) leaderOf(team string) string {
	var leader struct {
		N string `json:"n"`
	}
	json.Unmarshal(s.state.get("j/h/"+team), &leader)
	return leader.N
}

// limitPassed: the state service refuses one controller alone until its lease has ended. While that
// controller then reads the stored state again, page by page, it is made the leader of a team.
func limitPassed() {
	cfg := jadran()
	for _, t := range cfg.types {
		if t.Name == "velika-pec" {
			t.places, t.only = map[bool]int{false: 6, true: 0}, map[string]bool{"osijek-kat": true, "rijeka-soba": true}
		}
	}
	s := newSite(cfg, 3)
	for _, n := range s.nodes {
		if !s.awaitUp(n, 20*time.Second) {
			s.fatal("%s isn't healthy", n.name)
		}
	}
	const crew, limited = "racunovodstvo", "hand-2" // the team's limit is 64 CPUs
	osijek, rijeka, zagreb := "osijek-kat", "rijeka-soba", "zagreb-ormar"
	base := jobSpec{LeverClass: "poruke-dnevne", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 1, VCPUs: 17, MemoryGB: 20, Bundle: "img-01", PullGB: 0.1, GuessS: 300, Builds: []string{"velika-pec"}}
	job := func(change func(*jobSpec)) *jobSpec {
		j := base
		change(&j)
		return &j
	}
	// Other teams' work, which leaves 15 CPUs of each machine free.
	ok := s.submit(job(func(j *jobSpec) { j.UID, j.Pieces, j.Yard = "req-000001", 6, &osijek }), 0)
	ok = ok && s.submit(job(func(j *jobSpec) { j.UID, j.Yard = "req-000002", &rijeka }), 0)
	// A job that has no place yet, and jobs that await it: there are more jobs than a page of keys holds.
	ok = ok && s.submit(job(func(j *jobSpec) {
		j.UID, j.Crew, j.VCPUs, j.MemoryGB = "req-000003", "lucki-stol", 32, 256
		j.Yard = &zagreb
	}), 0)
	if !ok {
		s.fatal("the first jobs weren't accepted")
	}
	s.submitMany(520, func(i int) *jobSpec {
		return job(func(j *jobSpec) {
			j.UID, j.Crew, j.VCPUs, j.MemoryGB, j.Awaits = fmt.Sprintf("req-%06d", 100000+i), "lucki-stol", 1, 1, []string{"req-000003"}
		})
	})
	s.rec("%d jobs stored", s.state.count("j/a/"))
	for until := time.Now().Add(20 * time.Second); s.startCount() < 7; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			s.fatal("the other teams' work didn't start")
		}
	}
	for until := time.Now().Add(20 * time.Second); s.leaderOf(crew) != limited; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			s.fatal("%s doesn't lead %s", limited, crew)
		}
	}

	a := job(func(j *jobSpec) {
		j.UID, j.Crew, j.Pieces, j.VCPUs, j.MemoryGB, j.Yard = "req-000010", crew, 16, 4, 4, &osijek
	})
	b := job(func(j *jobSpec) {
		j.UID, j.Crew, j.Pieces, j.VCPUs, j.MemoryGB, j.Yard, j.Urgency = "req-000011", crew, 3, 4, 4, &rijeka, "urgent"
	})
	if s.trouble {
		s.rec("state service: refuses %s alone", limited)
		s.state.setRefused(limited, true)
		for until := time.Now().Add(10 * time.Second); s.leaderOf(crew) == limited || s.leaderOf(crew) == ""; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(until) {
				s.fatal("nobody took over %s", crew)
			}
		}
		time.Sleep(time.Second)
		s.rec("state service: %s leads %s", s.leaderOf(crew), crew)
		bound := s.handOverWhileListing(limited, crew, a.UID)
		s.rec("state service: serves %s again", limited)
		s.state.setRefused(limited, false)
		go s.submit(a, 0)
		<-bound
		go s.submit(b, 0)
	} else {
		go s.submit(a, 0)
		time.Sleep(300 * time.Millisecond)
		go s.submit(b, 0)
	}
	time.Sleep(20 * time.Second)
	s.mu.Lock()
	for team, cpus := range s.peakCPUs {
		s.rec("team %s: at most %.0f CPUs at once", team, cpus)
	}
	s.mu.Unlock()
	s.finish("quota")
}

func (s *Site) startCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// handOverWhileListing makes the state service answer some requests late, by a few hundred
// milliseconds at most: a job's first binding is stored after the returning controller has read the
// first page of keys, its registration after that, and the second page is read once it is made the
// team's leader. The channel that it returns is closed when the binding is stored.
func (s *Site) handOverWhileListing(back, crew, id string) <-chan struct{} {
	const limit = 450 * time.Millisecond
	var mu sync.Mutex
	firstRead, bound, handed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	await := func(what string, c <-chan struct{}) {
		start := time.Now()
		select {
		case <-c:
		case <-time.After(limit):
			s.rec("state service: gave up waiting, %s", what)
		}
		s.rec("state service: answered late by %d ms (%s)", time.Since(start).Milliseconds(), what)
	}
	closeOnce := func(c chan struct{}) {
		mu.Lock()
		defer mu.Unlock()
		select {
		case <-c:
		default:
			close(c)
		}
	}
	closed := func(c chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	pages := 0
	s.state.beforeList = func(node, since string) {
		if node == back && since != "" && pages == 1 {
			await("second page of "+node, handed)
			pages = 2
		}
	}
	s.state.afterList = func(node, since string) {
		if node == back && since == "" && pages == 0 {
			pages = 1
			closeOnce(firstRead)
		}
	}
	s.state.beforeTxn = func(node string, txn *kvTxn) {
		switch {
		case txn.writes("j/a/"+id) && s.state.get("j/a/"+id) != nil && !closed(bound):
			await("first binding of "+id+", from "+node, firstRead)
			before := string(s.state.get("j/a/" + id))
			go func() {
				for string(s.state.get("j/a/"+id)) == before {
					time.Sleep(time.Millisecond)
				}
				closeOnce(bound)
			}()
		case node == back && txn.writes("j/n/"+back) && !closed(handed) && s.state.met(txn):
			await("registration of "+node, bound)
		case txn.writes("j/h/" + crew):
			go func() {
				for s.leaderOf(crew) != back {
					time.Sleep(time.Millisecond)
				}
				closeOnce(handed)
			}()
		}
	}
	return bound
}
