package main

import (
	"fmt"
	"sync"
	"time"
)

// cancelledThenDone: a controller is killed and comes back. While it reads the stored state, page by
// page, a job is cancelled by its user and its end is stored.
func cancelledThenDone() {
	s := newSite(jadran(), 3)
	back := s.nodes[0] // the controller that is restarted
	for _, n := range s.nodes {
		if !s.awaitUp(n, 20*time.Second) {
			s.fatal("%s isn't healthy", n.name)
		}
	}
	const first = "req-000001" // the first job of the pipeline; it has no place yet
	base := jobSpec{LeverClass: "rezanje-zvuka", Crew: "lingvisti", Shape: "batch", Urgency: "normal", Pieces: 1, VCPUs: 1, MemoryGB: 1, Bundle: "img-01", PullGB: 0.1, GuessS: 30}
	job := func(change func(*jobSpec)) *jobSpec {
		j := base
		change(&j)
		return &j
	}
	ok := s.submit(job(func(j *jobSpec) { j.UID, j.VCPUs, j.MemoryGB, j.Builds = first, 16, 17, []string{"velika-pec"} }), 1)
	// Work that keeps machines in use, one CPU of each free.
	ok = ok && s.submit(job(func(j *jobSpec) {
		j.UID, j.Crew, j.Pieces, j.VCPUs, j.MemoryGB, j.GuessS = "req-000002", "dezurni", 12, 3, 4, 150
	}), 1)
	if !ok {
		s.fatal("the first jobs weren't accepted")
	}
	const dependents = 520
	var group sync.WaitGroup
	numbers := make(chan int)
	for range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := range numbers {
				s.submit(job(func(j *jobSpec) {
					j.UID, j.LeverClass, j.Awaits = fmt.Sprintf("req-%06d", 100000+n), "slanje-clanovima", []string{first}
				}), n)
			}
		}()
	}
	for n := range dependents {
		numbers <- n
		time.Sleep(36 * time.Millisecond)
	}
	close(numbers)
	group.Wait()
	s.rec("%d jobs that await %s accepted; %d jobs stored", dependents, first, s.state.count("j/a/"))

	cancelled := make(chan string, 1)
	if s.trouble {
		s.kill(back)
		time.Sleep(8 * time.Second)
		s.cancelWhileListing(back, first, cancelled)
		s.launch(back)
	} else {
		cancelled <- s.withdraw(first, 1)
	}
	select {
	case stance := <-cancelled:
		if stance != "cancelled" {
			s.fatal("the cancellation was answered with %q", stance)
		}
	case <-time.After(20 * time.Second):
		s.fatal("the cancellation wasn't answered")
	}
	if !s.awaitUp(back, 20*time.Second) {
		s.fatal("%s isn't healthy", back.name)
	}
	time.Sleep(3 * time.Second)
	// Users ask at every controller, for the cancelled job and for some that await it.
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Second) {
		for _, n := range s.nodes {
			for _, id := range []string{first, "req-100007", "req-100300", "req-100515"} {
				status, in := s.poll(id, n)
				s.rec("user: GET /work/%s at %s: %d %q done %d running %d", id, n.name, status, in.Stance, in.Done, in.Running)
			}
		}
	}
	s.finish("too_early")
}

// cancelWhileListing makes the state service answer some requests late, by a few hundred
// milliseconds at most, so that the user's cancellation of a job is stored before the returning
// controller reads the first page of keys, and the job's end between the first page and the second.
func (s *Site) cancelWhileListing(back *node, id string, cancelled chan<- string) {
	const limit = 400 * time.Millisecond
	var once sync.Once
	stored, firstRead, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	await := func(what string, c <-chan struct{}) {
		start := time.Now()
		select {
		case <-c:
		case <-time.After(limit):
			s.rec("state service: gave up waiting, %s", what)
		}
		s.rec("state service: answered late by %d ms (%s)", time.Since(start).Milliseconds(), what)
	}
	listed := false
	s.state.beforeList = func(node, since string) {
		if node != back.name || listed {
			return
		}
		if since != "" {
			await("second page of "+node, ended)
			listed = true
			return
		}
		once.Do(func() {
			go func() { cancelled <- s.withdraw(id, 1) }()
			go func() {
				for s.state.get("u/"+id) == nil {
					time.Sleep(time.Millisecond)
				}
				close(stored)
			}()
			await("first page of "+node, stored)
		})
	}
	s.state.afterList = func(node, since string) {
		if node == back.name && since == "" && !listed {
			select {
			case <-firstRead:
			default:
				close(firstRead)
			}
		}
	}
	s.state.beforeTxn = func(node string, txn *kvTxn) {
		if !txn.drops("j/a/" + id) {
			return
		}
		await("end of the cancelled job, from "+node, firstRead)
		go func() {
			for s.state.get("j/a/"+id) != nil {
				time.Sleep(time.Millisecond)
			}
			select {
			case <-ended:
			default:
				close(ended)
			}
		}()
	}
}
