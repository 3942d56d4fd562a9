package main

import (
	"os"
	"strconv"
	"time"
)

// toldAlone: while connections between controllers are refused, a controller crashes and is back
// within a fraction of a second, and a user cancels a job there. The state service is down from the
// moment at which it has stored that, for longer than cancel_s, and the controller ends.
func toldAlone() {
	s := newSite(jadran(), 3)
	for _, n := range s.nodes {
		if !s.awaitUp(n, 20*time.Second) {
			s.fatal("%s isn't healthy", n.name)
		}
	}
	const id = "req-000001"
	j := &jobSpec{UID: id, LeverClass: "poruke-dnevne", Crew: "dezurni", Shape: "batch", Urgency: "normal", Pieces: 9, VCPUs: 3, MemoryGB: 4, Bundle: "img-01", PullGB: 0.1, GuessS: 300, Loaners: true}
	if !s.submit(j, 0) {
		s.fatal("the job wasn't accepted")
	}
	for until := time.Now().Add(20 * time.Second); s.onMachines(id) < j.Pieces; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			s.fatal("the job didn't start")
		}
	}
	time.Sleep(2 * time.Second)
	back := s.nodes[0]
	if s.trouble {
		s.refuseLinks()
		s.kill(back)
		time.Sleep(200 * time.Millisecond)
		s.launch(back)
		// The load balancer has seen one failed probe at most, so the controller is still healthy.
		// LATE lets the user come later, to see what depends on the restart.
		late, _ := strconv.ParseFloat(os.Getenv("LATE"), 64)
		time.Sleep(time.Duration((1 + late) * float64(time.Second)))
		status, _ := post(s.users, back.user, "/up", nil)
		s.rec("load balancer: GET /up at %s: %d", back.name, status)
		s.state.mu.Lock()
		s.state.downAfter = func(txn *kvTxn) bool { return txn.writes("j/c/" + id) }
		s.state.mu.Unlock()
	}
	// The user's connection is one to this controller. It asks again until it has a definite answer.
	answered := false
	for until := time.Now().Add(20 * time.Second); !answered && time.Now().Before(until); {
		s.rec("user: POST /work/%s/withdraw at %s", id, back.name)
		status, in := s.ask(back, id)
		s.rec("user: %s answers %d %q", back.name, status, in.Stance)
		if answered = status == 200; !answered {
			time.Sleep(time.Second)
		}
	}
	if s.trouble {
		s.kill(back)
	}
	if !answered {
		s.rec("the user wasn't told that the job is cancelled")
		s.finish("ran_cancelled")
	}
	launched := !s.trouble
	for until := time.Now().Add(time.Duration((s.cancelS + 6) * float64(time.Second))); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		s.checkCancelled(id)
		s.mu.Lock()
		since := time.Since(s.toldAt[id])
		s.mu.Unlock()
		if !launched && since > 8*time.Second {
			launched = true
			s.launch(back)
		}
	}
	s.rec("%d tasks of %s are on machines at the end", s.onMachines(id), id)
	if s.trouble {
		s.state.up()
	}
	s.finish("ran_cancelled")
}

// ask sends one cancellation.
func (s *Site) ask(n *node, id string) (int, stance) {
	status, body := post(s.users, n.user, "/work/"+id+"/withdraw", struct{}{})
	var in stance
	if status == 200 {
		decode(body, &in)
		s.see(n, id, in)
	}
	return status, in
}
