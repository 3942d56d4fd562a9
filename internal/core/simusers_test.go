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

// request sends a user's request to a node and runs the simulation until it is answered.
func (w *world) request(node string, newCommand func(req uint64) Command) Answer {
	w.t.Helper()
	w.nextReq++
	req := w.nextReq
	w.send(node, newCommand(req))
	if !w.run(10*time.Second, func() bool { _, ok := w.answers[req]; return ok }) {
		w.t.Fatalf("%s did not answer within 10s", node)
	}
	return w.answers[req]
}

// submit submits an array for the team that the job's id names. extraFields is JSON that is appended
// to the submission and overrides its fields.
func (w *world) submit(node, id string, tasks int, extraFields string) Answer {
	w.t.Helper()
	team := strings.TrimPrefix(id, protocol.JobPrefix)
	team, _, _ = strings.Cut(team, "-")
	body := submission(id, team, tasks, extraFields)
	return w.request(node, func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
}

// submission returns the JSON of an array submission, with extraFields appended.
func submission(id, team string, tasks int, extraFields string) string {
	return fmt.Sprintf(`{"uid":%q,"leverClass":"k","crew":%q,"shape":"batch","urgency":"normal","pieces":%d,
	"vcpus":2.0,"accelerators":0.0,"memoryGb":1.0,"bundle":"i","pullGb":1.0,"builds":null,"yard":null,"samePlace":false,
	"spread":false,"loaners":true,"guessS":5.0,"markEveryS":0.0,"markCostS":0.0,"dueS":60.0%s}`, id, team, tasks, extraFields)
}

// status asks a node for the state of a job.
func (w *world) status(node, id string) Answer {
	w.t.Helper()
	return w.request(node, func(req uint64) Command { return Status{Req: req, ID: id} })
}

// cancelJob cancels a job at a node and records when its user was told so.
func (w *world) cancelJob(node, id string) Answer {
	w.t.Helper()
	a := w.request(node, func(req uint64) Command { return Cancel{Req: req, ID: id} })
	if a.Status == http.StatusOK {
		w.cancellationToldAt[id] = w.now
	}
	return a
}

// state returns the stored final state of a job, and whether it has one.
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

// recordSubmission records the specification of a submitted job, accepted or not.
func (w *world) recordSubmission(body []byte) {
	if s, err := job.Parse(body, protocol.MaxBody); err == nil && w.specs[s.ID] == nil {
		w.specs[s.ID] = s
	}
}

// accepted fails the test unless a submission was accepted.
func accepted(t tester, a Answer) {
	t.Helper()
	if a.Status != http.StatusCreated {
		t.Fatalf("submission got status %d (%v), want 201", a.Status, a.Body)
	}
}

// stateOf returns the job state in an answer, and fails the test if there is none.
func stateOf(t *testing.T, a Answer) protocol.JobState {
	t.Helper()
	s, ok := a.Body.(protocol.JobState)
	if a.Status != http.StatusOK || !ok {
		t.Fatalf("job state got status %d (%v), want 200", a.Status, a.Body)
	}
	return s
}

// serving returns a random controller that can answer users, or "".
func (w *world) serving() string {
	for _, i := range w.rng.Perm(len(w.names)) {
		if n := w.names[i]; w.cores[n] != nil && !w.withoutStore[n] && !w.frozen[n] && !w.outage {
			return n
		}
	}
	return ""
}
