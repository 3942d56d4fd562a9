package core

import (
	"fmt"
	"testing"
	"time"
)

// A token whose write got no answer may belong to whoever writes the same number next.
func TestTokenOfAnUnansweredWriteIsNotUsed(t *testing.T) {
	for _, late := range []time.Duration{200 * time.Millisecond, 3 * time.Second} {
		w := newWorldOf(t, fiveNodes).ready()
		n := 0
		w.lateWrite = func(_ string, e StoreTxn) time.Duration {
			if e.Txn.Then[0].Put != keyToken {
				return 0
			}
			if n++; n%2 == 0 {
				return 0
			}
			return late
		}
		for i := range 10 {
			for _, f := range w.workers {
				f.Token += 100 // a controller that hears of it acquires a newer token
			}
			w.addWorker("z1", false)
			w.workers[fmt.Sprintf("vm-%06d", w.rented)].Token = uint64(1000 + i)
			w.run(2*time.Second, nil)
		}
		w.run(20*time.Second, nil) // the world checks whose each token is
		if n < 5 {
			t.Errorf("%d tokens were written", n)
		}
	}
}

// A probe without an answer leaves no start unresolved, and needs no newer token.
func TestHungMachineCostsOneTokenNotOnePerProbe(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 2, ""))
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
	highest := func() uint64 {
		most := uint64(0)
		for _, c := range w.cores {
			most = max(most, c.agents.tokens.current)
		}
		return most
	}
	for _, f := range w.workers {
		f.dead = true
	}
	before := highest()
	accepted(t, w.submit("b", "req-blue-2", 2, ""))
	w.run(15*time.Second, nil)
	if taken := highest() - before; taken == 0 || taken > 4 {
		t.Errorf("%d tokens were acquired, want one or a few", taken)
	}
}
