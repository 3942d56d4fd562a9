package core

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// request sends a user's request to a node and plays until it is answered.
func (w *world) request(node string, make1 func(req uint64) Command) Answer {
	w.t.Helper()
	w.nextReq++
	req := w.nextReq
	w.send(node, make1(req))
	if !w.run(10*time.Second, func() bool { _, ok := w.answers[req]; return ok }) {
		w.t.Fatalf("%s does not answer", node)
	}
	return w.answers[req]
}

func (w *world) submit(node, id string, tasks int, more string) Answer {
	w.t.Helper()
	team := strings.TrimPrefix(id, protocol.JobPrefix)
	team, _, _ = strings.Cut(team, "-")
	body := submission(id, team, tasks, more)
	return w.request(node, func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
}

func submission(id, team string, tasks int, more string) string {
	return fmt.Sprintf(`{"uid":%q,"leverClass":"k","crew":%q,"shape":"batch","urgency":"normal","pieces":%d,
	"vcpus":2.0,"accelerators":0.0,"memoryGb":1.0,"bundle":"i","pullGb":1.0,"builds":null,"yard":null,"samePlace":false,
	"spread":false,"loaners":true,"guessS":5.0,"markEveryS":0.0,"markCostS":0.0,"dueS":60.0%s}`, id, team, tasks, more)
}

func (w *world) status(node, id string) Answer {
	w.t.Helper()
	return w.request(node, func(req uint64) Command { return Status{Req: req, ID: id} })
}

func (w *world) cancelJob(node, id string) Answer {
	w.t.Helper()
	a := w.request(node, func(req uint64) Command { return Cancel{Req: req, ID: id} })
	if a.Status == http.StatusOK {
		w.cancellationToldAt[id] = w.now
	}
	return a
}

func (w *world) state(id string) (finalStateRecord, bool) {
	var s finalStateRecord
	kv, ok := w.kv[keyState+id]
	if ok {
		if err := json.Unmarshal(kv.Value, &s); err != nil {
			w.t.Fatal(err)
		}
	}
	return s, ok
}

// recordSubmission notes a job as its user describes it, whatever becomes of it.
func (w *world) recordSubmission(body []byte) {
	if s, err := job.Parse(body, protocol.MaxBody); err == nil && w.specs[s.ID] == nil {
		w.specs[s.ID] = s
	}
}

func accepted(t tester, a Answer) {
	t.Helper()
	if a.Status != http.StatusCreated {
		t.Fatalf("submission got %d: %v", a.Status, a.Body)
	}
}

func stateOf(t *testing.T, a Answer) protocol.JobState {
	t.Helper()
	s, ok := a.Body.(protocol.JobState)
	if a.Status != http.StatusOK || !ok {
		t.Fatalf("state got %d: %v", a.Status, a.Body)
	}
	return s
}

// serving names a controller that may answer users, or none.
func (w *world) serving() string {
	for _, i := range w.rng.Perm(len(w.names)) {
		if n := w.names[i]; w.cores[n] != nil && !w.withoutStore[n] && !w.frozen[n] && !w.outage {
			return n
		}
	}
	return ""
}
