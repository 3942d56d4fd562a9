package jobstats

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestJobsAreCountedOnceByClassAndTeam(t *testing.T) {
	stats := New()
	stats.Accept("a", "train", "red", 2, 1*time.Second)
	stats.Accept("b", "train", "red", 8, 2*time.Second)
	stats.Accept("b", "train", "red", 8, 9*time.Second) // loaded from the store again
	stats.Accept("c", "train", "blue", 8, 3*time.Second)
	stats.Start("b")
	stats.Start("b")
	stats.End("a", true)
	stats.End("b", false)
	stats.End("b", false)
	stats.Start("unknown")
	want := []Row{
		{Kind: "class", Name: "train", Accepted: 3, Started: 1, Done: 1, Cancelled: 1, Largest: 8, LargestAccepted: 2, LargestStarted: 1, Oldest: 7 * time.Second},
		{Kind: "team", Name: "blue", Accepted: 1, Largest: 8, LargestAccepted: 1, Oldest: 7 * time.Second},
		{Kind: "team", Name: "red", Accepted: 2, Started: 1, Done: 1, Cancelled: 1, Largest: 8, LargestAccepted: 1, LargestStarted: 1},
	}
	if diff := cmp.Diff(want, stats.Rows(10*time.Second)); diff != "" {
		t.Error(diff)
	}
}

func TestLongestUnanswered(t *testing.T) {
	stats := New()
	for _, query := range []struct {
		id       string
		answered bool
		at       time.Duration
	}{
		{"a", false, 1},
		{"a", false, 4},
		{"a", true, 9},
		{"a", false, 20},
		{"b", true, 50},
		{"a", true, 25},
	} {
		stats.RecordQuery(query.id, query.answered, query.at*time.Second)
	}
	if got := stats.LongestUnanswered(); got != 8*time.Second {
		t.Errorf("got %v, want 8s, the time from the first unanswered request to the answer", got)
	}
}
