package federation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Without answers the retry rate must stay at the configured limit, however many hand-offs are
// in flight. With answers it must rise.
func TestRetryRateFollowsAnswerRate(t *testing.T) {
	sent := map[bool]int{}
	for _, answering := range []bool{false, true} {
		coordinator := newRoutingCoordinator(func(cfg *Config) { cfg.Peers[0].MaxOutgoing, cfg.RetryRate, cfg.BreakerThreshold = 1000, 5, 1<<30 })
		records := Records{}.copy()
		for i := range 500 {
			records.Outgoing[fmt.Sprint("req-", i)] = Outgoing{Epoch: Epoch(i + 1), To: "b"}
		}
		coordinator.Step(2*time.Second, RecordsLoaded{records})
		const spanSeconds = 30
		offers := 0
		for second := range spanSeconds {
			var inputs []Input
			for i := 0; answering && i < offers; i++ {
				inputs = append(inputs, MessageReceived{Message: Message{From: "b", To: "a", Kind: KindLoad}})
			}
			offers = 0
			for _, effect := range coordinator.Step(time.Duration(second+3)*time.Second, inputs...) {
				if send, ok := effect.(Send); ok && send.Message.Kind == KindOffer {
					offers++
				}
			}
			sent[answering] += offers
		}
		if limit := spanSeconds*5 + maxRetryBudget; !answering && sent[answering] > limit {
			t.Errorf("got %d messages without answers, want at most %d", sent[answering], limit)
		}
	}
	if sent[true] < 2*sent[false] {
		t.Errorf("got %d messages with answers and %d without, want at least twice as many with answers", sent[true], sent[false])
	}
}

// After a long outage, the first message must be sent without waiting for the rest of the retry
// delay.
func TestReachablePeerIsRetriedImmediately(t *testing.T) {
	coordinator := newRoutingCoordinator(nil, Outgoing{To: "b"})
	now := 2 * time.Second
	for ; now < 5*time.Minute; now += time.Second {
		coordinator.Step(now) // the peer never answers
	}
	countOffers := func(inputs ...Input) (count int) {
		for _, effect := range coordinator.Step(now, inputs...) {
			if send, ok := effect.(Send); ok && send.Message.To == "b" && send.Message.Kind == KindOffer {
				count++
			}
		}
		return count
	}
	if before, after := countOffers(), countOffers(PeerReachable{"b"}); before != 0 || after != 1 {
		t.Errorf("got %d offers before the peer became reachable and %d after, want 0 and 1", before, after)
	}
}

func TestJitterStaysInRange(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		if delay := jitter(rng, time.Second); delay < time.Second/2 || delay >= 3*time.Second/2 {
			t.Fatalf("got delay %v for 1s, want 500ms to 1.5s", delay)
		}
	}
}
