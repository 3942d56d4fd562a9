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

func TestListHoldsEveryJobOncePageByPage(t *testing.T) {
	const jobs = 2*protocol.JobsPage + 1
	c := busyCore(10 * jobs)
	var got []string
	for after, more := "", true; more; {
		c.effects = nil
		c.handle(List{Req: 1, After: after})
		page := c.effects[0].(Answer).Body.(protocol.JobList)
		for _, j := range page.Jobs {
			if got = append(got, j.ID); j.Team == "" || j.Tasks != 10 {
				t.Fatalf("row %+v", j)
			}
		}
		after, more = got[len(got)-1], page.More
	}
	if slices.Sort(got); len(slices.Compact(got)) != jobs {
		t.Errorf("%d of %d jobs listed", len(got), jobs)
	}
}

func TestRepeatedSubmissionGetsTheCurrentStateForever(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 1, ""))
	if s := stateOf(t, w.submit("b", "req-blue-1", 1, "")); s.State == protocol.Done {
		t.Errorf("early repeat says %+v", s)
	}
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
	for _, n := range nodeNames {
		w.crash(n)
		w.expire(n)
		w.boot(n)
	}
	w.ready()
	if s := stateOf(t, w.submit("c", "req-blue-1", 1, "")); s.State != protocol.Done {
		t.Errorf("late repeat says %+v", s)
	}
}

// A submission may be repeated at any time, and what is checked of one may have changed
// since: whatever it says, a job that was accepted is known, and is never 400 or 422.
func TestRepeatedSubmissionIsNeverRefused(t *testing.T) {
	for name, body := range map[string]string{
		"as it was":         submission("req-blue-1", "blue", 2, ""),
		"a field missing":   `{"uid":"req-blue-1","crew":"blue"}`,
		"out of range":      submission("req-blue-1", "blue", 2, `,"guessS":-1.0`),
		"of the wrong type": submission("req-blue-1", "blue", 2, `,"pieces":"two"`),
		"fits nowhere now":  submission("req-blue-1", "blue", 2, `,"vcpus":64.0`),
		"too long now":      submission("req-blue-1", "blue", 2, `,"bundle":"`+strings.Repeat("i", 4000)+`"`),
		"unknown team now":  submission("req-blue-1", "nobody", 2, ""),
	} {
		for _, state := range []string{protocol.Queued, protocol.Running, protocol.Done, protocol.Cancelled, "not answered"} {
			t.Run(name+", "+state, func(t *testing.T) {
				t.Parallel()
				w := newWorld(t).ready()
				if state == protocol.Running {
					w.taskTime = time.Hour
				}
				if state == "not answered" {
					w.lostReplies = 1
				}
				if a := w.submit("a", "req-blue-1", 2, ""); (a.Status == http.StatusCreated) == (state == "not answered") {
					t.Fatalf("got %d", a.Status)
				}
				switch state {
				case protocol.Running:
					w.started("req-blue-1", 2)
				case protocol.Done:
					w.run(time.Minute, w.finished("req-blue-1"))
				case protocol.Cancelled:
					w.cancelJob("b", "req-blue-1")
				}
				for _, node := range w.names {
					a := w.request(node, func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
					s := stateOf(t, a)
					if a.Status != http.StatusOK || (state == protocol.Done || state == protocol.Cancelled) && s.State != state {
						t.Errorf("%s answers %d, %q", node, a.Status, s.State)
					}
				}
				// Nobody can tell while the state service is out: neither 400 nor 422.
				w.outage = true
				w.run(reportIntervals(2), nil)
				if a := w.request("c", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }); a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
					t.Errorf("in an outage the answer is %d", a.Status)
				}
			})
		}
	}
}

// Of a job that nobody has, the same bodies are malformed, or can never run.
func TestMalformedSubmissionsAreAnsweredOnce(t *testing.T) {
	w := newWorld(t).ready()
	whole := submission("req-blue-1", "blue", 2, "")
	bodies := map[string]string{"half": whole[:len(whole)/2], "empty": "", "null": "null", "a list": "[" + whole + "]", "no id": `{"crew":"blue"}`,
		"id of a number": `{"uid":7}`, "odd id": submission("req-../1", "blue", 2, ""), "a type of no name": submission("req-blue-1", "blue", 2, `,"builds":[null]`),
		"a zone of no name": submission("req-blue-1", "blue", 2, `,"yard":""`), "too long": `{"uid":"` + strings.Repeat("x", protocol.MaxBody) + `"}`}
	var fields map[string]any
	if err := json.Unmarshal([]byte(whole), &fields); err != nil {
		t.Fatal(err)
	}
	for field := range fields {
		for how, value := range map[string]any{"missing": nil, "null": nil, "a list": []int{1}, "negative": -1.0, "an object": map[string]any{}} {
			other := maps.Clone(fields)
			other[field] = value
			if how == "missing" {
				delete(other, field)
			}
			if value == nil && slices.Contains([]string{"builds", "yard", "dueS"}, field) {
				continue // these may be null
			}
			raw, err := json.Marshal(other)
			if err != nil {
				t.Fatal(err)
			}
			bodies[field+" "+how] = string(raw)
		}
	}
	for name, body := range ordered(bodies) {
		a := w.request("b", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
		if a.Status != http.StatusBadRequest {
			t.Errorf("%s: got %d", name, a.Status)
		}
	}
	if a := w.status("a", "req-blue-1"); a.Status != http.StatusNotFound {
		t.Errorf("after all that the job is answered %d", a.Status)
	}
}

func TestJobsThatCanNeverRunAreRefused(t *testing.T) {
	w := newWorld(t)
	w.types = append(w.types, protocol.MachineType{Name: "local", CPUs: 4, MemoryGB: 16, Price: 3, SpotPrice: 2, Zones: []string{"z1"}},
		protocol.MachineType{Name: "nowhere", CPUs: 64, MemoryGB: 16, Price: 3, SpotPrice: 2})
	w.ready()
	for name, body := range map[string]string{
		"unknown team":                      submission("req-x-1", "nobody", 1, ""),
		"task fits nowhere":                 submission("req-x-2", "blue", 1, `,"vcpus":64.0`),
		"over the limit":                    submission("req-x-3", "red", 1, `,"vcpus":17.0`),
		"gang over limit":                   submission("req-x-4", "red", 9, `,"shape":"group"`),
		"unknown type":                      submission("req-x-5", "blue", 1, `,"builds":["none"]`),
		"no types":                          submission("req-x-6", "blue", 1, `,"builds":[]`),
		"unknown zone":                      submission("req-x-7", "blue", 1, `,"yard":"z9"`),
		"zone without type":                 submission("req-x-8", "blue", 1, `,"yard":"z2","builds":["local"]`),
		"type of no zone":                   submission("req-x-9", "blue", 1, `,"builds":["nowhere"]`),
		"gang in one zone, spread":          submission("req-x-10", "blue", 2, `,"shape":"group","samePlace":true,"spread":true`),
		"gang of a zone, spread":            submission("req-x-11", "blue", 2, `,"shape":"group","yard":"z1","spread":true`),
		"service of a zone, spread":         submission("req-x-12", "blue", 3, `,"shape":"service","yard":"z1","spread":true`),
		"gang on types of one zone, spread": submission("req-x-13", "blue", 2, `,"shape":"group","spread":true,"builds":["local"]`),
	} {
		a := w.request("a", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
		if a.Status != http.StatusUnprocessableEntity {
			t.Errorf("%s: got %d", name, a.Status)
		}
	}
}

// What has to wait for its own tasks, or for machines, is no reason to refuse a job: it is
// accepted and runs.
func TestJobsThatOnlyHaveToWaitRun(t *testing.T) {
	w := newWorld(t)
	w.types = append(w.types, protocol.MachineType{Name: "local", CPUs: 4, MemoryGB: 16, Price: 3, SpotPrice: 2, Zones: []string{"z1"}})
	w.ready()
	jobs := map[string]string{
		"req-blue-1": `,"samePlace":true,"spread":true`,
		"req-blue-2": `,"yard":"z2","spread":true`,
		"req-blue-3": `,"builds":["local"],"spread":true`,
		"req-blue-4": `,"shape":"group","spread":true`,
		"req-red-5":  `,"vcpus":4.0,"memoryGb":16.0`,
		"req-blue-6": `,"shape":"group","pieces":1,"samePlace":true,"spread":true`,
		"req-blue-7": `,"loaners":false,"samePlace":true`,
	}
	for id, more := range ordered(jobs) {
		accepted(t, w.submit("a", id, 5, more))
	}
	if !w.run(5*time.Minute, w.finished(slices.Sorted(maps.Keys(jobs))...)) {
		for id := range ordered(jobs) {
			s, _ := w.state(id)
			t.Errorf("%s is %q", id, s.State)
		}
	}
}

func TestTeamNamesMayHoldAnyCharacters(t *testing.T) {
	for _, team := range []string{"red", "night shift", "a/b", "čuvari%2F~", "x+y"} {
		part := teamPart(team)
		if got, err := parseTeamPart(part); strings.ContainsAny(part, " %/") || got != team || err != nil {
			t.Errorf("%q became %q of %q, %v", team, got, part, err)
		}
	}
}

func TestUnknownJobIsNotFoundOnlyAfterACurrentRead(t *testing.T) {
	w := newWorld(t).ready()
	if a := w.status("a", "req-nobody"); a.Status != http.StatusNotFound {
		t.Errorf("got %d", a.Status)
	}
	w.outage = true
	if a := w.status("a", "req-nobody"); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("during an outage got %d, retry after %d", a.Status, a.RetryAfter)
	}
}

func TestNodeAloneWithoutTheStoreIsUnhealthyButNotInACommonOutage(t *testing.T) {
	w := newWorld(t).ready()
	health := func() int {
		return w.request("a", func(req uint64) Command { return Health{Req: req} }).Status
	}
	w.send("a", StoreHealth{OK: false})
	w.run(time.Second, nil)
	if got := health(); got != http.StatusServiceUnavailable {
		t.Errorf("alone: got %d", got)
	}
	w.send("b", StoreHealth{OK: false})
	w.run(2*time.Second, nil)
	if got := health(); got != http.StatusOK {
		t.Errorf("common outage: got %d", got)
	}
}
