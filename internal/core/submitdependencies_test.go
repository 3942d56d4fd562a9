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

// dependenciesField returns the JSON field of a submission that lists its dependencies.
func dependenciesField(ids ...string) string { return `,"awaits":["` + strings.Join(ids, `","`) + `"]` }

// Submissions with dependencies are answered as documented (docs/dependencies.md).
func TestDependentSubmissionIsAnswered(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-run", 1, ""))
	cluster.waitUntilStarted("req-free-run", 1)
	requireAccepted(t, cluster.submit("a", "req-free-off", 1, ""))
	cluster.cancelJob("a", "req-free-off")
	requireAccepted(t, cluster.submit("a", "req-free-svc", 1, `,"shape":"service","guessS":0.0,"dueS":null`))
	cluster.taskTime = time.Second
	requireAccepted(t, cluster.submit("a", "req-free-end", 1, ""))
	cluster.run(time.Minute, cluster.allDone("req-free-end"))
	names := make([]string, 400)
	for i := range names {
		names[i] = fmt.Sprintf("req-free-%d", i)
	}
	for i, c := range []struct {
		what, extraFields string
		status            int
	}{
		{"null", `,"awaits":null`, http.StatusCreated},
		{"empty list", `,"awaits":[]`, http.StatusCreated},
		{"not a list", `,"awaits":"req-free-run"`, http.StatusBadRequest},
		{"malformed ID", dependenciesField("run"), http.StatusBadRequest},
		{"number", `,"awaits":[4]`, http.StatusBadRequest},
		{"running job", dependenciesField("req-free-run"), http.StatusCreated},
		{"duplicate", dependenciesField("req-free-run", "req-free-run"), http.StatusCreated},
		{"job that is done", dependenciesField("req-free-end"), http.StatusCreated},
		{"cancelled job", dependenciesField("req-free-off"), http.StatusCreated},
		{"unknown job", dependenciesField("req-free-run", "req-free-none"), http.StatusUnprocessableEntity},
		{"service", dependenciesField("req-free-svc"), http.StatusUnprocessableEntity},
		{"the job itself", dependenciesField("req-blue-11"), http.StatusUnprocessableEntity},
		{"too many jobs", dependenciesField(names...), http.StatusBadRequest},
	} {
		node := cluster.names[i%len(cluster.names)]
		if a := cluster.submit(node, fmt.Sprintf("req-blue-%d", i), 1, c.extraFields); a.Status != c.status {
			t.Errorf("%s: got status %d, body %v, want status %d", c.what, a.Status, a.Body, c.status)
		}
	}
	if a := cluster.submit("b", "req-blue-5", 1, dependenciesField("req-free-none")); a.Status != http.StatusOK {
		t.Errorf("repeated submission with an unknown dependency: got status %d, want 200", a.Status)
	}
	cluster.run(5*time.Second, nil)
	for id, want := range map[string]string{"req-blue-5": protocol.Queued, "req-blue-8": protocol.Cancelled} {
		for _, node := range cluster.names {
			if got := cluster.stateSeenBy(node, id); got != want {
				t.Errorf("%s: got state of %s %q, want %s", node, id, got, want)
			}
		}
	}
	if got := cluster.status("c", "req-blue-5").Body.(protocol.JobState).Awaits; !slices.Equal(got, []string{"req-free-run"}) {
		t.Errorf("got unfinished dependencies %v, want only the running job", got)
	}
}

// Jobs with dependencies are rejected while a controller may still run the previous version, which
// does not support them, and accepted once all controllers have recorded their versions.
func TestDependenciesAreAcceptedOnceAllControllersAreUpgraded(t *testing.T) {
	cluster := newSimCluster(t)
	cluster.notUpgraded["c"] = true
	cluster.waitUntilReady().run(5*time.Second, nil)
	requireAccepted(t, cluster.submit("a", "req-free-1", 1, ""))
	if a := cluster.submit("a", "req-free-2", 1, dependenciesField("req-free-1")); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("got status %d while one controller runs the previous version, want 503", a.Status)
	}
	cluster.crash("c")
	cluster.expire("c")
	delete(cluster.notUpgraded, "c")
	cluster.boot("c")
	cluster.run(10*time.Second, nil)
	requireAccepted(t, cluster.submit("a", "req-free-2", 1, dependenciesField("req-free-1")))
	// The versions are stored permanently: the controllers do not have to be live.
	cluster.crash("b")
	cluster.expire("b")
	cluster.run(5*time.Second, nil)
	requireAccepted(t, cluster.submit("a", "req-free-3", 1, dependenciesField("req-free-2")))
	if !cluster.run(2*time.Minute, cluster.allDone("req-free-3")) {
		t.Error("the chain did not end")
	}
}
