package lookup

import (
	"fmt"
	"testing"
	"time"
)

// jobsOf returns the job IDs of a batch.
func jobsOf(batch Batch) (ids []string) {
	for _, group := range batch {
		ids = append(ids, group.JobID)
	}
	return ids
}

func TestNextTakesOldestRequestsWithinLimits(t *testing.T) {
	limits := Limits{Rate: 2, Conditions: 4}
	var q Queue
	for n := range 6 {
		id := fmt.Sprintf("req-%d", n)
		q.Add(Request{JobID: id, Since: time.Duration(n) * time.Second}, n >= 3)
		q.Add(Request{JobID: id, Since: time.Duration(n) * time.Second}, n >= 3)
	}
	if batch := q.Next(limits); batch != nil {
		t.Fatalf("got batch %v without a budget, want none", jobsOf(batch))
	}
	q.Refill(10*time.Second, limits.Rate)
	for _, want := range []struct {
		jobs     string
		accepted bool
	}{{"[req-0 req-1]", false}, {"[req-2]", false}} {
		batch := q.Next(limits)
		if got := fmt.Sprint(jobsOf(batch)); got != want.jobs || batch[0].Accepted != want.accepted || len(batch[0].Requests) != 2 {
			t.Errorf("got batch %s, want %s with two requests per job", got, want.jobs)
		}
	}
	if batch := q.Next(limits); batch != nil {
		t.Errorf("got batch %v beyond the rate, want none", jobsOf(batch))
	}
	q.Refill(11*time.Second, limits.Rate)
	batch := q.Next(limits)
	if got := fmt.Sprint(jobsOf(batch)); got != "[req-3 req-4 req-5]" || !batch[0].Accepted {
		t.Errorf("got batch %s, want [req-3 req-4 req-5] of accepted jobs", got)
	}
	if accepted, unknown := q.Len(); accepted+unknown > 0 {
		t.Errorf("got %d and %d queued requests, want none", accepted, unknown)
	}
}

func TestTakeAcceptanceIgnoresBudgetAndChargesIt(t *testing.T) {
	limits := Limits{Rate: 1, Conditions: 4}
	var q Queue
	q.Add(Request{JobID: "req-poll"}, false)
	for n := range 3 {
		q.Add(Request{JobID: fmt.Sprintf("req-%d", n), AcceptanceOnly: true}, false)
	}
	batches := q.TakeAcceptance(limits)
	if len(batches) != 2 || fmt.Sprint(jobsOf(batches[0]), jobsOf(batches[1])) != "[req-0 req-1] [req-2]" {
		t.Fatalf("got batches %v, want [req-0 req-1] [req-2]", batches)
	}
	q.Refill(2*time.Second, limits.Rate)
	if batch := q.Next(limits); batch != nil {
		t.Errorf("got batch %v with a spent budget, want none", jobsOf(batch))
	}
	q.Refill(3*time.Second, limits.Rate)
	if got := fmt.Sprint(jobsOf(q.Next(limits))); got != "[req-poll]" {
		t.Errorf("got batch %s, want [req-poll]", got)
	}
}

func TestOverloadedByAgeOrLength(t *testing.T) {
	limits := Limits{Rate: 1, Conditions: 1}
	for name, c := range map[string]struct {
		requests int
		age      time.Duration
		want     bool
	}{
		"empty":                  {0, 0, false},
		"at the length limit":    {maxBacklogSeconds, maxWait, false},
		"above the length limit": {maxBacklogSeconds + 1, 0, true},
		"above the age limit":    {1, maxWait + 1, true},
		"at the age limit":       {1, maxWait, false},
	} {
		for _, accepted := range []bool{false, true} {
			var q Queue
			for range c.requests {
				q.Add(Request{JobID: "req-1"}, accepted)
			}
			if got := q.Overloaded(c.age, limits); got != c.want {
				t.Errorf("%s, accepted %v: got overloaded %v", name, accepted, got)
			}
		}
	}
}

func TestRequeuedRequestsAreSentFirst(t *testing.T) {
	limits := Limits{Rate: 1, Conditions: 1}
	var q Queue
	q.Add(Request{JobID: "req-2", Since: time.Second}, true)
	q.Requeue([]Request{{JobID: "req-1"}}, true)
	q.Refill(time.Minute, limits.Rate)
	if got := fmt.Sprint(jobsOf(q.Next(limits))); got != "[req-1]" {
		t.Errorf("got batch %s, want [req-1]", got)
	}
}
