package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// sendBurst sends requests to a controller in one step, runs for up to 10 s until all are answered,
// and returns the statuses of the answers by the index of the request.
func (cluster *simCluster) sendBurst(node string, n int, command func(i int, req uint64) Command) map[int]int {
	cluster.t.Helper()
	first := cluster.nextReq + 1
	for i := range n {
		cluster.nextReq++
		cluster.send(node, command(i, cluster.nextReq))
	}
	cluster.nextReq += 1 << 20 // a gap between the IDs of the burst and those of later requests
	statuses := map[int]int{}
	cluster.run(10*time.Second, func() bool {
		for i := range n {
			if a, ok := cluster.answers[first+uint64(i)]; ok {
				statuses[i] = a.Status
			}
		}
		return len(statuses) == n
	})
	return statuses
}

// TestBurstOfSubmissionsAndCancellations checks that hundreds of submissions in one step are all
// answered, and so are their cancellations, and that cancelled tasks leave the machines.
func TestBurstOfSubmissionsAndCancellations(t *testing.T) {
	const requestCount = 500
	cluster := newSimCluster(t).waitUntilReady()
	cluster.allowRacingStarts = true
	id := func(i int) string { return fmt.Sprintf("req-free-%d", i) }
	submitted := cluster.sendBurst("a", requestCount, func(i int, req uint64) Command {
		return Submit{Req: req, Body: []byte(submission(id(i), "free", 1, ""))}
	})
	for i := range requestCount {
		if submitted[i] != http.StatusCreated && submitted[i] != http.StatusServiceUnavailable {
			t.Fatalf("submission %d got status %d", i, submitted[i])
		}
	}
	cluster.run(4*time.Second, nil)
	cancelled := cluster.sendBurst("b", requestCount, func(i int, req uint64) Command { return Cancel{Req: req, ID: id(i)} })
	for i := range requestCount {
		if submitted[i] == http.StatusCreated && cancelled[i] != http.StatusOK && cancelled[i] != http.StatusServiceUnavailable {
			t.Errorf("cancellation %d got status %d", i, cancelled[i])
		}
	}
	cluster.run(20*time.Second, nil)
	for i := range requestCount {
		if s, _ := cluster.state(id(i)); s.State == protocol.Cancelled && cluster.onMachines(id(i)) > 0 {
			t.Errorf("%s is cancelled but still on a machine", id(i))
		}
	}
}
