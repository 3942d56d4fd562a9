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

// request sends a user's request to a controller and runs the simulation until it is answered.
func (cluster *simCluster) request(node string, newCommand func(req uint64) Command) Answer {
	cluster.t.Helper()
	cluster.nextReq++
	req := cluster.nextReq
	cluster.send(node, newCommand(req))
	if !cluster.run(10*time.Second, func() bool { _, ok := cluster.answers[req]; return ok }) {
		cluster.t.Fatalf("%s did not answer within 10s", node)
	}
	return cluster.answers[req]
}

// submit submits an array for the team that the job's ID names. extraFields is JSON that is
// appended to the submission and overrides its fields.
func (cluster *simCluster) submit(node, id string, tasks int, extraFields string) Answer {
	cluster.t.Helper()
	team := strings.TrimPrefix(id, protocol.JobPrefix)
	team, _, _ = strings.Cut(team, "-")
	body := submission(id, team, tasks, extraFields)
	return cluster.request(node, func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
}

// submission returns the JSON of an array submission, with extraFields appended.
func submission(id, team string, tasks int, extraFields string) string {
	return fmt.Sprintf(`{"uid":%q,"leverClass":"k","crew":%q,"shape":"batch","urgency":"normal","pieces":%d,
	"vcpus":2.0,"accelerators":0.0,"memoryGb":1.0,"bundle":"i","pullGb":1.0,"builds":null,"yard":null,"samePlace":false,
	"spread":false,"loaners":true,"guessS":5.0,"markEveryS":0.0,"markCostS":0.0,"dueS":60.0%s}`, id, team, tasks, extraFields)
}

// status requests the state of a job from a controller.
func (cluster *simCluster) status(node, id string) Answer {
	cluster.t.Helper()
	return cluster.request(node, func(req uint64) Command { return Status{Req: req, ID: id} })
}

// cancelJob requests the cancellation of a job from a controller and records the time if the status
// of the answer is 200.
func (cluster *simCluster) cancelJob(node, id string) Answer {
	cluster.t.Helper()
	a := cluster.request(node, func(req uint64) Command { return Cancel{Req: req, ID: id} })
	if a.Status == http.StatusOK {
		cluster.confirmCancelled(id)
	}
	return a
}

// state returns the stored final state of a job, and whether it has one.
func (cluster *simCluster) state(id string) (finalStateRecord, bool) {
	var s finalStateRecord
	kv, ok := cluster.kv[keyState+id]
	if ok {
		if err := json.Unmarshal(kv.Value, &s); err != nil {
			cluster.t.Fatal(err)
		}
	}
	return s, ok
}

// recordSubmission records the spec of a submitted job, accepted or not.
func (cluster *simCluster) recordSubmission(body []byte) {
	if s, err := job.Parse(body, protocol.MaxBody); err == nil && cluster.specs[s.ID] == nil {
		cluster.specs[s.ID] = s
	}
}

// requireAccepted fails the test unless a submission was accepted.
func requireAccepted(t tester, a Answer) {
	t.Helper()
	if a.Status != http.StatusCreated {
		t.Fatalf("submission got status %d (%v), want 201", a.Status, a.Body)
	}
}

// requireJobState returns the job state in an answer, and fails the test if there is none.
func requireJobState(t *testing.T, a Answer) protocol.JobState {
	t.Helper()
	s, ok := a.Body.(protocol.JobState)
	if a.Status != http.StatusOK || !ok {
		t.Fatalf("job state got status %d (%v), want 200", a.Status, a.Body)
	}
	return s
}

// servingController returns a random controller that can answer users, or "".
func (cluster *simCluster) servingController() string {
	for _, i := range cluster.rng.Perm(len(cluster.names)) {
		if n := cluster.names[i]; cluster.cores[n] != nil && !cluster.withoutStore[n] && !cluster.frozen[n] && !cluster.outage {
			return n
		}
	}
	return ""
}
