package main

import "time"

// limitsLowered: the state service lowers its limits, as the settings announce. Then a gang that takes
// more machines than a transaction may have conditions is submitted.
func limitsLowered() {
	s := newSite(kelani(), 3)
	for _, n := range s.nodes {
		if !s.awaitUp(n, 20*time.Second) {
			s.fatal("%s isn't healthy", n.name)
		}
	}
	if s.trouble {
		s.rec("state service: lowers its limits to those of state.next")
		s.state.lower(15, 2, 4)
	}
	gang := &jobSpec{UID: "req-000001", LeverClass: "image-assemble", Crew: "oncall-crew-0", Shape: "group", Urgency: "urgent", Pieces: 20, VCPUs: 16, MemoryGB: 30, Bundle: "img-01", PullGB: 0.2, GuessS: 10, Loaners: true}
	array := &jobSpec{UID: "req-000002", LeverClass: "test-suites", Crew: "oncall-crew-1", Shape: "batch", Urgency: "normal", Pieces: 4, VCPUs: 4, MemoryGB: 6, Bundle: "img-02", PullGB: 0.2, GuessS: 5, Loaners: true}
	if !s.submit(gang, 0) || !s.submit(array, 1) {
		s.fatal("the jobs weren't accepted")
	}
	s.rec("user: %s and %s accepted", gang.UID, array.UID)
	since := time.Time{} // since when there is room for the gang
	for until := time.Now().Add(108 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Second) {
		status, in := s.poll(gang.UID, s.nodes[1])
		_, other := s.poll(array.UID, s.nodes[2])
		free := s.emptyMachines("sixteen-builder")
		s.rec("user: GET /work/%s: %d %q done %d running %d; %s is %q; %d empty sixteen-builders", gang.UID, status, in.Stance, in.Done, in.Running, array.UID, other.Stance, free)
		if in.Stance == "done" {
			break
		}
		if free < gang.Pieces || s.onMachines(gang.UID) > 0 {
			since = time.Time{}
		} else if since.IsZero() {
			since = time.Now()
		} else if waited := time.Since(since); waited > 90*time.Second {
			s.breaks("left_waiting", "%s has waited for %.0f s next to %d empty machines that fit its %d tasks", gang.UID, waited.Seconds(), free, gang.Pieces)
			break
		}
	}
	s.finish("left_waiting")
}

// emptyMachines counts the machines of a type whose workers have no task.
func (s *Site) emptyMachines(typ string) (n int) {
	s.mu.Lock()
	var workers []*Worker
	for _, w := range s.workers {
		workers = append(workers, w)
	}
	s.mu.Unlock()
	for _, w := range workers {
		w.mu.Lock()
		busy := w.typ.Name != typ
		for _, t := range w.tasks {
			busy = busy || t.Stance != "exited"
		}
		w.mu.Unlock()
		if !busy {
			n++
		}
	}
	return n
}

// onMachines counts the tasks of a job that are on machines.
func (s *Site) onMachines(id string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, tasks := range s.running {
		for _, job := range tasks {
			if job == id {
				n++
			}
		}
	}
	return n
}
