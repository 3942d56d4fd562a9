package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// sendBurst sends requests to a node in one step, and runs until all are answered. It returns the
// status of each.
func (w *world) sendBurst(node string, n int, command func(i int, req uint64) Command) map[int]int {
	w.t.Helper()
	first := w.nextReq + 1
	for i := range n {
		w.nextReq++
		w.send(node, command(i, w.nextReq))
	}
	w.nextReq += 1 << 20 // the workers' requests come after
	statuses := map[int]int{}
	w.run(10*time.Second, func() bool {
		for i := range n {
			if a, ok := w.answers[first+uint64(i)]; ok {
				statuses[i] = a.Status
			}
		}
		return len(statuses) == n
	})
	return statuses
}

// Hundreds of submissions in one step are answered, and so are their cancellations: what is
// cancelled leaves the machines.
func TestBurstOfSubmissionsAndCancellations(t *testing.T) {
	const swarm = 500
	w := newWorld(t).ready()
	w.allowRacingStarts = true
	id := func(i int) string { return fmt.Sprintf("req-free-%d", i) }
	submitted := w.sendBurst("a", swarm, func(i int, req uint64) Command {
		return Submit{Req: req, Body: []byte(submission(id(i), "free", 1, ""))}
	})
	for i := range swarm {
		if submitted[i] != http.StatusCreated && submitted[i] != http.StatusServiceUnavailable {
			t.Fatalf("submission %d got %d", i, submitted[i])
		}
	}
	w.run(4*time.Second, nil)
	cancelled := w.sendBurst("b", swarm, func(i int, req uint64) Command { return Cancel{Req: req, ID: id(i)} })
	for i := range swarm {
		if submitted[i] == http.StatusCreated && cancelled[i] != http.StatusOK && cancelled[i] != http.StatusServiceUnavailable {
			t.Errorf("cancellation %d got %d", i, cancelled[i])
		}
	}
	w.run(20*time.Second, nil)
	for i := range swarm {
		if s, _ := w.state(id(i)); s.State == protocol.Cancelled && w.onMachines(id(i)) > 0 {
			t.Errorf("%s is cancelled and on a machine", id(i))
		}
	}
}
