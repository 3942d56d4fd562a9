package core

import (
	"fmt"
	"testing"
	"time"
)

// If a token write got no reply, the token may belong to another controller that writes the
// same number next. It must not be used.
func TestTokenOfAnUnansweredWriteIsNotUsed(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		cluster := newSimClusterOf(t, fiveNodes).waitUntilReady()
		writes := 0
		cluster.lateWrite = func(_ string, e StoreTxn) time.Duration {
			if e.Txn.Then[0].Put != keyToken {
				return 0
			}
			if writes++; writes%2 == 0 {
				return 0
			}
			return delay
		}
		for i := range 10 {
			for _, f := range cluster.workers {
				f.Token += 100 // a controller that sees this token acquires a newer one
			}
			cluster.addWorker("z1", false)
			cluster.workers[fmt.Sprintf("vm-%06d", cluster.rented)].Token = uint64(1000 + i)
			cluster.run(2*time.Second, nil)
		}
		cluster.run(20*time.Second, nil) // the simulation checks that each token has one owner
		if writes < 5 {
			t.Errorf("got %d token writes, want at least 5", writes)
		}
	}
}

// An unanswered probe contains no start command whose outcome would be unknown, so the controller
// needs no newer token for it.
func TestHungMachineCostsOneTokenNotOnePerProbe(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 2, ""))
	if !cluster.run(time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("job did not end")
	}
	highestToken := func() uint64 {
		token := uint64(0)
		for _, c := range cluster.cores {
			token = max(token, c.agents.tokens.current)
		}
		return token
	}
	for _, f := range cluster.workers {
		f.dead = true
	}
	before := highestToken()
	requireAccepted(t, cluster.submit("b", "req-blue-2", 2, ""))
	cluster.run(15*time.Second, nil)
	if acquiredTokens := highestToken() - before; acquiredTokens == 0 || acquiredTokens > 4 {
		t.Errorf("%d tokens were acquired, want 1 to 4", acquiredTokens)
	}
}
