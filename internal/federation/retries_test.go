package federation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Without answers repeated tries are a few a second, however many hand-offs are in
// flight; with them the pace rises.
func TestRetryRateFollowsTheAnswers(t *testing.T) {
	sent := map[bool]int{}
	for _, answers := range []bool{false, true} {
		m := newRoutingCoordinator(func(c *Config) { c.Peers[0].MaxOutgoing, c.RetryRate, c.BreakerThreshold = 1000, 5, 1<<30 })
		r := Records{}.copy()
		for i := range 500 {
			r.Outgoing[fmt.Sprint("req-", i)] = Outgoing{Epoch: Epoch(i + 1), To: "b"}
		}
		m.Step(2*time.Second, RecordsLoaded{r})
		const span = 30
		last := 0
		for s := range span {
			var in []Input
			for i := 0; answers && i < last; i++ {
				in = append(in, MessageReceived{Message: Message{From: "b", To: "a", Kind: KindLoad}})
			}
			last = 0
			for _, e := range m.Step(time.Duration(s+3)*time.Second, in...) {
				if send, ok := e.(Send); ok && send.Message.Kind == KindOffer {
					last++
				}
			}
			sent[answers] += last
		}
		if most := span*5 + maxRetryBudget; !answers && sent[answers] > most {
			t.Errorf("%d messages without an answer, %d are allowed", sent[answers], most)
		}
	}
	if sent[true] < 2*sent[false] {
		t.Errorf("%d messages with answers, %d without", sent[true], sent[false])
	}
}

// After a long cut the first message does not wait for the longest pause.
func TestReachablePeerIsRetriedAtOnce(t *testing.T) {
	m := newRoutingCoordinator(nil, Outgoing{To: "b"})
	now := 2 * time.Second
	for ; now < 5*time.Minute; now += time.Second {
		m.Step(now) // nothing answers
	}
	tell := func(in ...Input) (n int) {
		for _, e := range m.Step(now, in...) {
			if s, ok := e.(Send); ok && s.Message.To == "b" && s.Message.Kind == KindOffer {
				n++
			}
		}
		return n
	}
	if before, after := tell(), tell(PeerReachable{"b"}); before != 0 || after != 1 {
		t.Errorf("told %d times before it was reachable, %d then", before, after)
	}
}

func TestJitterSpreadsAroundThePause(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		if d := jitter(rng, time.Second); d < time.Second/2 || d >= 3*time.Second/2 {
			t.Fatalf("a pause of a second became %v", d)
		}
	}
}
