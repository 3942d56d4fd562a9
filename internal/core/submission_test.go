package core

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

func TestListPagesContainEveryJobOnce(t *testing.T) {
	const jobs = 2*protocol.MaxJobsPerPage + 1
	c := newBusyCore(10 * jobs)
	var got []string
	for after, more := "", true; more; {
		c.effects = nil
		c.handle(List{Req: 1, After: after})
		page := c.effects[0].(Answer).Body.(protocol.JobList)
		for _, j := range page.Jobs {
			if got = append(got, j.ID); j.Team == "" || j.Tasks != 10 {
				t.Fatalf("got row %+v, want a team and 10 tasks", j)
			}
		}
		after, more = got[len(got)-1], page.More
	}
	if slices.Sort(got); len(slices.Compact(got)) != jobs {
		t.Errorf("got %d listed jobs, want each of %d once", len(got), jobs)
	}
}

func TestRepeatedSubmissionReturnsCurrentState(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 1, ""))
	if s := requireJobState(t, cluster.submit("b", "req-blue-1", 1, "")); s.State == protocol.Done {
		t.Errorf("repeated submission before the end: got state %+v, want not done", s)
	}
	if !cluster.run(time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("the job did not end")
	}
	for _, n := range nodeNames {
		cluster.crash(n)
		cluster.expire(n)
		cluster.boot(n)
	}
	cluster.waitUntilReady()
	if s := requireJobState(t, cluster.submit("c", "req-blue-1", 1, "")); s.State != protocol.Done {
		t.Errorf("repeated submission after the end: got state %+v, want done", s)
	}
}

// A submission may be repeated at any time, and the validation rules may have changed since. A
// submission of an accepted job is never answered 400 or 422, regardless of its body.
func TestRepeatedSubmissionIsNeverRejected(t *testing.T) {
	for name, body := range map[string]string{
		"unchanged":        submission("req-blue-1", "blue", 2, ""),
		"missing field":    `{"uid":"req-blue-1","crew":"blue"}`,
		"out of range":     submission("req-blue-1", "blue", 2, `,"guessS":-1.0`),
		"wrong type":       submission("req-blue-1", "blue", 2, `,"pieces":"two"`),
		"too large now":    submission("req-blue-1", "blue", 2, `,"vcpus":64.0`),
		"too long now":     submission("req-blue-1", "blue", 2, `,"bundle":"`+strings.Repeat("i", 4000)+`"`),
		"unknown team now": submission("req-blue-1", "nobody", 2, ""),
	} {
		for _, state := range []string{protocol.Queued, protocol.Running, protocol.Done, protocol.Cancelled, "not answered"} {
			t.Run(name+", "+state, func(t *testing.T) {
				t.Parallel()
				cluster := newSimCluster(t).waitUntilReady()
				if state == protocol.Running {
					cluster.taskTime = time.Hour
				}
				if state == "not answered" {
					cluster.lostReplies = 1
				}
				if a := cluster.submit("a", "req-blue-1", 2, ""); (a.Status == http.StatusCreated) == (state == "not answered") {
					t.Fatalf("submission: got status %d", a.Status)
				}
				switch state {
				case protocol.Running:
					cluster.waitUntilStarted("req-blue-1", 2)
				case protocol.Done:
					cluster.run(time.Minute, cluster.allDone("req-blue-1"))
				case protocol.Cancelled:
					cluster.cancelJob("b", "req-blue-1")
				}
				for _, node := range cluster.names {
					a := cluster.request(node, func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
					s := requireJobState(t, a)
					if a.Status != http.StatusOK || (state == protocol.Done || state == protocol.Cancelled) && s.State != state {
						t.Errorf("%s: got status %d and state %q, want 200 and the current state", node, a.Status, s.State)
					}
				}
				// During an outage of the store the state may be unknown, but the
				// answer is neither 400 nor 422.
				cluster.outage = true
				cluster.run(reportIntervals(2), nil)
				if a := cluster.request("c", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }); a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
					t.Errorf("during an outage: got status %d, want 200 or 503", a.Status)
				}
			})
		}
	}
}

// A malformed submission of a job that does not exist is answered 400, and no job is accepted.
func TestMalformedSubmissionsAreRejected(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	valid := submission("req-blue-1", "blue", 2, "")
	bodies := map[string]string{"truncated": valid[:len(valid)/2], "empty": "", "null": "null", "a list": "[" + valid + "]", "no ID": `{"crew":"blue"}`,
		"numeric ID": `{"uid":7}`, "invalid ID": submission("req-../1", "blue", 2, ""), "null machine type": submission("req-blue-1", "blue", 2, `,"builds":[null]`),
		"empty zone": submission("req-blue-1", "blue", 2, `,"yard":""`), "too long": `{"uid":"` + strings.Repeat("x", protocol.MaxBody) + `"}`}
	var fields map[string]any
	if err := json.Unmarshal([]byte(valid), &fields); err != nil {
		t.Fatal(err)
	}
	for field := range fields {
		for defect, value := range map[string]any{"missing": nil, "null": nil, "a list": []int{1}, "negative": -1.0, "an object": map[string]any{}} {
			other := maps.Clone(fields)
			other[field] = value
			if defect == "missing" {
				delete(other, field)
			}
			if value == nil && slices.Contains([]string{"builds", "yard", "dueS"}, field) {
				continue // these may be null
			}
			raw, err := json.Marshal(other)
			if err != nil {
				t.Fatal(err)
			}
			bodies[field+" "+defect] = string(raw)
		}
	}
	for name, body := range ordered(bodies) {
		a := cluster.request("b", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
		if a.Status != http.StatusBadRequest {
			t.Errorf("%s: got status %d, want 400", name, a.Status)
		}
	}
	if a := cluster.status("a", "req-blue-1"); a.Status != http.StatusNotFound {
		t.Errorf("status of the job: got %d, want 404", a.Status)
	}
}

func TestJobsThatCanNeverRunAreRejected(t *testing.T) {
	cluster := newSimCluster(t)
	cluster.types = append(cluster.types, protocol.MachineType{Name: "local", CPUs: 4, MemoryGB: 16, Price: 3, SpotPrice: 2, Zones: []string{"z1"}},
		protocol.MachineType{Name: "nowhere", CPUs: 64, MemoryGB: 16, Price: 3, SpotPrice: 2})
	cluster.waitUntilReady()
	for name, body := range map[string]string{
		"unknown team":                      submission("req-x-1", "nobody", 1, ""),
		"task too large":                    submission("req-x-2", "blue", 1, `,"vcpus":64.0`),
		"over team limit":                   submission("req-x-3", "red", 1, `,"vcpus":17.0`),
		"gang over team limit":              submission("req-x-4", "red", 9, `,"shape":"group"`),
		"unknown type":                      submission("req-x-5", "blue", 1, `,"builds":["none"]`),
		"no types":                          submission("req-x-6", "blue", 1, `,"builds":[]`),
		"unknown zone":                      submission("req-x-7", "blue", 1, `,"yard":"z9"`),
		"zone without type":                 submission("req-x-8", "blue", 1, `,"yard":"z2","builds":["local"]`),
		"type without zone":                 submission("req-x-9", "blue", 1, `,"builds":["nowhere"]`),
		"gang in one zone, spread":          submission("req-x-10", "blue", 2, `,"shape":"group","samePlace":true,"spread":true`),
		"gang with zone, spread":            submission("req-x-11", "blue", 2, `,"shape":"group","yard":"z1","spread":true`),
		"service with zone, spread":         submission("req-x-12", "blue", 3, `,"shape":"service","yard":"z1","spread":true`),
		"gang on types of one zone, spread": submission("req-x-13", "blue", 2, `,"shape":"group","spread":true,"builds":["local"]`),
	} {
		a := cluster.request("a", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
		if a.Status != http.StatusUnprocessableEntity {
			t.Errorf("%s: got status %d, want 422", name, a.Status)
		}
	}
}

// A job that has to wait for its own tasks to end or for machines to be rented is accepted and
// runs.
func TestJobsThatOnlyHaveToWaitAreAccepted(t *testing.T) {
	cluster := newSimCluster(t)
	cluster.types = append(cluster.types, protocol.MachineType{Name: "local", CPUs: 4, MemoryGB: 16, Price: 3, SpotPrice: 2, Zones: []string{"z1"}})
	cluster.waitUntilReady()
	jobs := map[string]string{
		"req-blue-1": `,"samePlace":true,"spread":true`,
		"req-blue-2": `,"yard":"z2","spread":true`,
		"req-blue-3": `,"builds":["local"],"spread":true`,
		"req-blue-4": `,"shape":"group","spread":true`,
		"req-red-5":  `,"vcpus":4.0,"memoryGb":16.0`,
		"req-blue-6": `,"shape":"group","pieces":1,"samePlace":true,"spread":true`,
		"req-blue-7": `,"loaners":false,"samePlace":true`,
	}
	for id, extraFields := range ordered(jobs) {
		requireAccepted(t, cluster.submit("a", id, 5, extraFields))
	}
	if !cluster.run(5*time.Minute, cluster.allDone(slices.Sorted(maps.Keys(jobs))...)) {
		for id := range ordered(jobs) {
			s, _ := cluster.state(id)
			t.Errorf("%s: got state %q, want done", id, s.State)
		}
	}
}

func TestTeamNamesMayContainAnyCharacters(t *testing.T) {
	for _, team := range []string{"red", "night shift", "a/b", "čuvari%2F~", "x+y"} {
		part := encodeTeamName(team)
		if got, err := decodeTeamName(part); strings.ContainsAny(part, " %/") || got != team || err != nil {
			t.Errorf("team %q: got %q from key part %q, error %v", team, got, part, err)
		}
	}
}

func TestUnknownJobIsNotFoundOnlyAfterStoreRead(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	if a := cluster.status("a", "req-nobody"); a.Status != http.StatusNotFound {
		t.Errorf("got status %d, want 404", a.Status)
	}
	cluster.outage = true
	if a := cluster.status("a", "req-nobody"); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("during an outage: got status %d, retry after %d s, want 503 and a delay", a.Status, a.RetryAfter)
	}
}

func TestControllerWithoutStoreIsUnhealthyUnlessOthersLackItToo(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	health := func() int {
		return cluster.request("a", func(req uint64) Command { return Health{Req: req} }).Status
	}
	cluster.send("a", StoreHealth{OK: false})
	cluster.run(time.Second, nil)
	if got := health(); got != http.StatusServiceUnavailable {
		t.Errorf("store unavailable to one controller: got status %d, want 503", got)
	}
	cluster.send("b", StoreHealth{OK: false})
	cluster.run(2*time.Second, nil)
	if got := health(); got != http.StatusOK {
		t.Errorf("store unavailable to several controllers: got status %d, want 200", got)
	}
}
