package store

import (
	"testing"
	"time"
)

func TestLimiterAllowsOneSecondsWorthAndThenTheRate(t *testing.T) {
	b := tokenBucket{rate: 10}
	start := time.Unix(1000, 0)
	b.fill(start)
	if b.tokens != 10 || b.delay(10) != 0 {
		t.Errorf("starts with %v", b.tokens)
	}
	b.tokens = 0
	if got := b.delay(5); got != 500*time.Millisecond {
		t.Errorf("five more take %v", got)
	}
	b.fill(start.Add(300 * time.Millisecond))
	if b.tokens < 2.99 || b.tokens > 3.01 {
		t.Errorf("after 0.3 s there are %v", b.tokens)
	}
}
