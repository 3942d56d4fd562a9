package worker

import (
	"testing"
	"time"
)

func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	m := &Machine{}
	m.UseImage("a", 4, 10, 1*time.Second)
	m.UseImage("b", 4, 10, 2*time.Second)
	m.UseImage("a", 4, 10, 3*time.Second)
	m.UseImage("c", 4, 10, 4*time.Second)
	if !m.HasImage("a") || m.HasImage("b") || !m.HasImage("c") {
		t.Error("the wrong image was evicted")
	}
}
