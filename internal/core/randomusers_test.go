package core

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/core/job"
)

// jobVariants are submission fields that change a plain array, which may run anywhere, to another
// kind, placement, size or priority.
var jobVariants = []string{
	`,"shape":"group"`, `,"shape":"group","samePlace":true`, `,"shape":"group","spread":true`,
	`,"shape":"service","guessS":0.0,"dueS":null`, `,"shape":"service","guessS":0.0,"dueS":null,"spread":true`,
	`,"yard":"z1"`, `,"yard":"z2"`, `,"samePlace":true`, `,"spread":true`, `,"builds":["large"]`, `,"loaners":false`,
	`,"vcpus":4.0`, `,"urgency":"critical"`, `,"urgency":"low","dueS":null`, `,"pieces":40,"vcpus":0.5`,
}

// openServices counts the open services. They never end, so they must not fill all machines.
func (r *randomScenario) openServices() (n int) {
	for _, id := range r.openJobs {
		if r.specs[id].Kind == job.Service {
			n++
		}
	}
	return n
}

// submitForEachTeam submits a job for each team, as step n of the scenario says.
func (r *randomScenario) submitForEachTeam(n int, step scenarioStep) {
	r.taskTime, r.unevenRunTimes = 8*time.Second, n%2 == 0
	if step.LongTasks {
		r.taskTime = 60 * time.Second
	}
	for _, team := range []string{"red", "blue", "free"} {
		node := r.servingController()
		if node == "" || step.Tasks == 0 {
			return
		}
		id := fmt.Sprintf("req-%s-%d", team, n)
		extraFields := ""
		if step.Variant < len(jobVariants) && team != "red" && !(strings.Contains(jobVariants[step.Variant], "service") && (team == "blue" || r.openServices() > 2)) {
			extraFields = jobVariants[step.Variant]
		}
		extraFields += r.randomDependencies(step.Dependencies)
		if r.fractionalAmounts {
			extraFields += r.randomAmounts()
		}
		body := []byte(submission(id, team, step.Tasks, extraFields))
		if r.requestAndWait(node, func(req uint64) Command { return Submit{Req: req, Body: body} }).Status == http.StatusCreated {
			r.acceptedJobs = append(r.acceptedJobs, id)
			if !r.mayBeCancelled(id) {
				r.openJobs = append(r.openJobs, id)
			}
		}
	}
}

// Amounts of a task that are no whole numbers: in single precision, almost nothing, almost that of a
// plain task, and three of them almost the memory of a machine.
var (
	fractionalCPUs     = []string{"0.6666667", "0.3333334", "1.3333334", "0.000000001", "1.9999995", "0.0"}
	fractionalMemories = []string{"1.0", "5.3333335", "0.0000005"}
)

// randomAmounts returns the submission fields with amounts that are no whole numbers.
func (r *randomScenario) randomAmounts() string {
	cpus := fractionalCPUs[r.rng.IntN(len(fractionalCPUs))]
	memory := fractionalMemories[r.rng.IntN(len(fractionalMemories))]
	return fmt.Sprintf(`,"vcpus":%s,"memoryGb":%s`, cpus, memory)
}

// randomDependencies returns the submission field that makes a job depend on up to n earlier jobs,
// in any state.
func (r *randomScenario) randomDependencies(n int) string {
	ids := slices.DeleteFunc(slices.Clone(r.acceptedJobs), func(id string) bool { return r.specs[id].Kind == job.Service })
	if n = min(n, len(ids)); n == 0 {
		return ""
	}
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return `,"awaits":["` + strings.Join(ids[:n], `","`) + `"]`
}

// pollRandomJobs requests the states of some jobs, and of a job that was never submitted, from a
// controller that may lag behind others.
func (r *randomScenario) pollRandomJobs() {
	node := r.servingController()
	if node == "" {
		return
	}
	for range min(2, len(r.acceptedJobs)) {
		id := r.acceptedJobs[r.rng.IntN(len(r.acceptedJobs))]
		r.answerChecker(id)(r.poll(node, id))
	}
	if a := r.poll(node, "req-nobody-1"); a.Status == http.StatusOK {
		r.t.Errorf("a job that was never submitted has the state %v", a.Body)
	}
}

// requestAndWait sends a request and waits for the answer for up to 5s. It returns the zero Answer
// if none arrives, as when the controller crashes first.
func (r *randomScenario) requestAndWait(node string, newCommand func(req uint64) Command) Answer {
	r.nextReq++
	req := r.nextReq
	r.send(node, newCommand(req))
	r.run(5*time.Second, func() bool { _, answered := r.answers[req]; return answered })
	return r.answers[req]
}

// poll requests the state of a job and waits for the answer.
func (r *randomScenario) poll(node, id string) Answer {
	return r.requestAndWait(node, func(req uint64) Command { return Status{Req: req, ID: id} })
}

// sendRequest sends a request to a serving controller, if there is one, and does not wait:
// handleAnswer is called when the answer arrives.
func (r *randomScenario) sendRequest(newCommand func(req uint64) Command, handleAnswer func(Answer)) {
	node := r.servingController()
	if node == "" {
		return
	}
	r.nextReq++
	r.replyHandlers[r.nextReq] = handleAnswer
	r.send(node, newCommand(r.nextReq))
}

// cancelAndPoll cancels an open job and requests its state.
func (r *randomScenario) cancelAndPoll(id string) {
	r.expectCancelled(id)
	r.sendRequest(func(req uint64) Command { return Cancel{Req: req, ID: id} }, r.answerChecker(id))
	r.sendRequest(func(req uint64) Command { return Status{Req: req, ID: id} }, r.answerChecker(id))
}

// expectCancelled records that a user requests the cancellation of a job. The job and all that
// depend on it are no longer open: regardless of the answer, they may end cancelled.
func (r *randomScenario) expectCancelled(id string) {
	r.cancelRequested[id] = true
	r.openJobs = slices.DeleteFunc(r.openJobs, func(openJob string) bool { return r.mayBeCancelled(openJob) })
}

// mayBeCancelled reports whether a user has requested the cancellation of a job or of any of its
// direct or indirect dependencies.
func (r *randomScenario) mayBeCancelled(id string) bool {
	return r.cancelRequested[id] || slices.ContainsFunc(r.specs[id].Dependencies, r.mayBeCancelled)
}

// dependencyCancelReportedAt returns when a user was first notified that any direct or indirect
// dependency of a job is cancelled, if one was.
func (r *randomScenario) dependencyCancelReportedAt(id string) (reportedAt time.Duration, reported bool) {
	for _, dependency := range r.specs[id].Dependencies {
		for _, lookup := range []func(string) (time.Duration, bool){r.dependencyCancelReportedAt, r.cancelReportedAt} {
			if firstReport, ok := lookup(dependency); ok && (!reported || firstReport < reportedAt) {
				reportedAt, reported = firstReport, true
			}
		}
	}
	return reportedAt, reported
}

// cancelReportedAt returns when a user was first notified that a job is cancelled, if one was.
func (r *randomScenario) cancelReportedAt(id string) (time.Duration, bool) {
	reportedAt, reported := r.firstCancelReports[id]
	return reportedAt, reported
}
