package jobstats

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestJobsAreCountedOnceByClassAndTeam(t *testing.T) {
	c := New()
	c.Accept("a", "train", "red", 2, 1*time.Second)
	c.Accept("b", "train", "red", 8, 2*time.Second)
	c.Accept("b", "train", "red", 8, 9*time.Second) // read again
	c.Accept("c", "train", "blue", 8, 3*time.Second)
	c.Start("b")
	c.Start("b")
	c.End("a", true)
	c.End("b", false)
	c.End("b", false)
	c.Start("unknown")
	want := []Row{
		{Kind: "class", Name: "train", Accepted: 3, Started: 1, Done: 1, Cancelled: 1, Largest: 8, LargestAccepted: 2, LargestStarted: 1, Oldest: 7 * time.Second},
		{Kind: "team", Name: "blue", Accepted: 1, Largest: 8, LargestAccepted: 1, Oldest: 7 * time.Second},
		{Kind: "team", Name: "red", Accepted: 2, Started: 1, Done: 1, Cancelled: 1, Largest: 8, LargestAccepted: 1, LargestStarted: 1},
	}
	if diff := cmp.Diff(want, c.Rows(10*time.Second)); diff != "" {
		t.Error(diff)
	}
}

func TestLongestTimeWithoutAnAnswer(t *testing.T) {
	c := New()
	for _, q := range []struct {
		id       string
		answered bool
		at       time.Duration
	}{{"a", false, 1}, {"a", false, 4}, {"a", true, 9}, {"a", false, 20}, {"b", true, 50}, {"a", true, 25}} {
		c.Asked(q.id, q.answered, q.at*time.Second)
	}
	if got := c.Longest(); got != 8*time.Second {
		t.Errorf("got %v, not from the first question in vain to the answer", got)
	}
}
