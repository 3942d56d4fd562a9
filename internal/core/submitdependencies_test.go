package core

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// awaiting is the field of a submission that awaits jobs.
func awaiting(ids ...string) string { return `,"awaits":["` + strings.Join(ids, `","`) + `"]` }

// Every submission that awaits others has its stated answer (docs/dependencies.md).
func TestDependentSubmissionIsAnswered(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = time.Minute
	accepted(t, w.submit("a", "req-free-run", 1, ""))
	w.started("req-free-run", 1)
	accepted(t, w.submit("a", "req-free-off", 1, ""))
	w.cancelJob("a", "req-free-off")
	accepted(t, w.submit("a", "req-free-svc", 1, `,"shape":"service","guessS":0.0,"dueS":null`))
	w.taskTime = time.Second
	accepted(t, w.submit("a", "req-free-end", 1, ""))
	w.run(time.Minute, w.finished("req-free-end"))
	names := make([]string, 400)
	for i := range names {
		names[i] = fmt.Sprintf("req-free-%d", i)
	}
	for i, c := range []struct {
		what, more string
		status     int
	}{
		{"null", `,"awaits":null`, http.StatusCreated},
		{"an empty list", `,"awaits":[]`, http.StatusCreated},
		{"no list", `,"awaits":"req-free-run"`, http.StatusBadRequest},
		{"a malformed id", awaiting("run"), http.StatusBadRequest},
		{"a number", `,"awaits":[4]`, http.StatusBadRequest},
		{"one that runs", awaiting("req-free-run"), http.StatusCreated},
		{"one twice", awaiting("req-free-run", "req-free-run"), http.StatusCreated},
		{"one of another team", awaiting("req-free-end"), http.StatusCreated},
		{"one that is cancelled", awaiting("req-free-off"), http.StatusCreated},
		{"one never accepted", awaiting("req-free-run", "req-free-none"), http.StatusUnprocessableEntity},
		{"a service", awaiting("req-free-svc"), http.StatusUnprocessableEntity},
		{"itself", awaiting("req-blue-11"), http.StatusUnprocessableEntity},
		{"hundreds", awaiting(names...), http.StatusBadRequest},
	} {
		node := w.names[i%len(w.names)]
		if a := w.submit(node, fmt.Sprintf("req-blue-%d", i), 1, c.more); a.Status != c.status {
			t.Errorf("%s: got %d %v, want %d", c.what, a.Status, a.Body, c.status)
		}
	}
	if a := w.submit("b", "req-blue-5", 1, awaiting("req-free-none")); a.Status != http.StatusOK {
		t.Errorf("a repeat that names a job which nobody knows got %d", a.Status)
	}
	w.run(5*time.Second, nil)
	for id, want := range map[string]string{"req-blue-5": protocol.Queued, "req-blue-8": protocol.Cancelled} {
		for _, node := range w.names {
			if got := w.stateSeenBy(node, id); got != want {
				t.Errorf("%s says that %s is %q, want %s", node, id, got, want)
			}
		}
	}
	if got := w.status("c", "req-blue-5").Body.(protocol.JobState).Awaits; !slices.Equal(got, []string{"req-free-run"}) {
		t.Errorf("its user is told that it awaits %v", got)
	}
}

// While a controller may have the version before, nothing that this one would not know is
// accepted, and it is once all have stated theirs.
func TestDependenciesAreAcceptedOnceAllAreUpgraded(t *testing.T) {
	w := newWorld(t)
	w.notUpgraded["c"] = true
	w.ready().run(5*time.Second, nil)
	accepted(t, w.submit("a", "req-free-1", 1, ""))
	if a := w.submit("a", "req-free-2", 1, awaiting("req-free-1")); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("got %d while one controller has the version before", a.Status)
	}
	w.crash("c")
	w.expire("c")
	delete(w.notUpgraded, "c")
	w.boot("c")
	w.run(10*time.Second, nil)
	accepted(t, w.submit("a", "req-free-2", 1, awaiting("req-free-1")))
	// It was stated for good: no controller has to live for it.
	w.crash("b")
	w.expire("b")
	w.run(5*time.Second, nil)
	accepted(t, w.submit("a", "req-free-3", 1, awaiting("req-free-2")))
	if !w.run(2*time.Minute, w.finished("req-free-3")) {
		t.Error("the chain does not end")
	}
}
