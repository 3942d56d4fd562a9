package store

import (
	"testing"
	"time"
)

func TestTokenBucketAllowsBurstOfOneSecond(t *testing.T) {
	b := tokenBucket{rate: 10}
	start := time.Unix(1000, 0)
	b.refill(start)
	if b.tokens != 10 || b.waitTime(10) != 0 {
		t.Errorf("new bucket: got %v tokens, want 10 and no wait for them", b.tokens)
	}
	b.tokens = 0
	if got := b.waitTime(5); got != 500*time.Millisecond {
		t.Errorf("wait for 5 tokens: got %v, want 500ms", got)
	}
	b.refill(start.Add(300 * time.Millisecond))
	if b.tokens < 2.99 || b.tokens > 3.01 {
		t.Errorf("after 0.3 s: got %v tokens, want 3", b.tokens)
	}
}
