package core

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
)

// jobShapes are the kinds of jobs beside arrays that may run anywhere.
var jobShapes = []string{
	`,"shape":"group"`, `,"shape":"group","samePlace":true`, `,"shape":"group","spread":true`,
	`,"shape":"service","guessS":0.0,"dueS":null`, `,"shape":"service","guessS":0.0,"dueS":null,"spread":true`,
	`,"yard":"z1"`, `,"yard":"z2"`, `,"samePlace":true`, `,"spread":true`, `,"builds":["large"]`, `,"loaners":false`,
	`,"vcpus":4.0`, `,"urgency":"critical"`, `,"urgency":"low","dueS":null`, `,"pieces":40,"vcpus":0.5`,
}

// services counts the open services: they never end, and may not fill all machines.
func (d *randomDay) services() (n int) {
	for _, id := range d.open {
		if d.specs[id].Kind == job.Service {
			n++
		}
	}
	return n
}

// submitAll submits a job of each team.
func (d *randomDay) submitAll(n int, e faultEvent) {
	d.taskTime, d.unevenRunTimes = 8*time.Second, n%2 == 0
	if e.Long {
		d.taskTime = 60 * time.Second
	}
	for _, team := range []string{"red", "blue", "free"} {
		node := d.serving()
		if node == "" || e.Tasks == 0 {
			return
		}
		id := fmt.Sprintf("req-%s-%d", team, n)
		more := ""
		if e.Shape < len(jobShapes) && team != "red" && !(strings.Contains(jobShapes[e.Shape], "service") && (team == "blue" || d.services() > 2)) {
			more = jobShapes[e.Shape]
		}
		more += d.randomDependencies(e.Awaits)
		body := []byte(submission(id, team, e.Tasks, more))
		if d.requestAndWait(node, func(req uint64) Command { return Submit{Req: req, Body: body} }).Status == http.StatusCreated {
			d.all = append(d.all, id)
			if !d.mayBeCancelled(id) {
				d.open = append(d.open, id)
			}
		}
	}
}

// randomDependencies is the field of a submission that awaits some earlier jobs, in any state.
func (d *randomDay) randomDependencies(n int) string {
	ids := slices.DeleteFunc(slices.Clone(d.all), func(id string) bool { return d.specs[id].Kind == job.Service })
	if n = min(n, len(ids)); n == 0 {
		return ""
	}
	d.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return `,"awaits":["` + strings.Join(ids[:n], `","`) + `"]`
}

// pollSome asks for some jobs at controllers that may know less than others, and for one
// that nobody has submitted.
func (d *randomDay) pollSome() {
	node := d.serving()
	if node == "" {
		return
	}
	for range min(2, len(d.all)) {
		id := d.all[d.rng.IntN(len(d.all))]
		d.answerChecker(id)(d.poll(node, id))
	}
	if a := d.poll(node, "req-nobody-1"); a.Status == http.StatusOK {
		d.t.Errorf("a job that nobody has submitted is %v", a.Body)
	}
}

// requestAndWait asks a controller, which may end before it answers.
func (d *randomDay) requestAndWait(node string, ask func(req uint64) Command) Answer {
	d.nextReq++
	req := d.nextReq
	d.send(node, ask(req))
	d.run(5*time.Second, func() bool { _, there := d.answers[req]; return there })
	return d.answers[req]
}

func (d *randomDay) poll(node, id string) Answer {
	return d.requestAndWait(node, func(req uint64) Command { return Status{Req: req, ID: id} })
}

// sendRequest sends a request whose answer is taken whenever it comes.
func (d *randomDay) sendRequest(make1 func(req uint64) Command, take func(Answer)) {
	node := d.serving()
	if node == "" {
		return
	}
	d.nextReq++
	d.replies[d.nextReq] = take
	d.send(node, make1(d.nextReq))
}

// cancelAndPoll cancels an open job, and asks for it.
func (d *randomDay) cancelAndPoll(id string) {
	d.expectCancelled(id)
	d.sendRequest(func(req uint64) Command { return Cancel{Req: req, ID: id} }, d.answerChecker(id))
	d.sendRequest(func(req uint64) Command { return Status{Req: req, ID: id} }, d.answerChecker(id))
}

// expectCancelled takes a job whose user asks for its end, and all that need it, from the open ones:
// whatever the answer, they may end cancelled.
func (d *randomDay) expectCancelled(id string) {
	d.cancelRequested[id] = true
	d.open = slices.DeleteFunc(d.open, func(o string) bool { return d.mayBeCancelled(o) })
}

// mayBeCancelled tells whether the user of a job, or of one that it needs, has asked for its end.
func (d *randomDay) mayBeCancelled(id string) bool {
	return d.cancelRequested[id] || slices.ContainsFunc(d.specs[id].Dependencies, d.mayBeCancelled)
}

// dependencyToldAt is when the user of a job that a job needs was told, first, that it is cancelled.
func (d *randomDay) dependencyToldAt(id string) (at time.Duration, told bool) {
	for _, awaited := range d.specs[id].Dependencies {
		for _, when := range []func(string) (time.Duration, bool){d.dependencyToldAt, d.toldAt} {
			if t, is := when(awaited); is && (!told || t < at) {
				at, told = t, true
			}
		}
	}
	return at, told
}

func (d *randomDay) toldAt(id string) (time.Duration, bool) {
	at, told := d.cancelledAt[id]
	return at, told
}
