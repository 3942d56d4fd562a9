package worker

import "time"

// trackedTask is what the reports of a worker have shown of an attempt over time.
type trackedTask struct {
	// runningSince is when the attempt was first seen running, or 0 if it is not running.
	runningSince time.Duration
	// shownUnder is the worker's token in the first report that showed the attempt. The token of its
	// start is not higher, since a worker that obeys a command has seen its token.
	shownUnder uint64
	// forgetRequest is when the machine's controller was last asked to have the attempt forgotten, or 0.
	forgetRequest time.Duration
}

// MayForget reports whether the worker may be told under a token to forget an attempt of the latest
// report. A worker that has forgotten an attempt starts it again if a copy of the start command
// arrives, unless it has seen a higher token than that of the command.
func (m *Machine) MayForget(task string, attempt, token uint64) bool {
	i := m.index(task, attempt)
	return i >= 0 && m.tracked[i].shownUnder < token
}

// RequestForget reports whether the machine's controller should be asked to have an attempt of the
// latest report forgotten, and records the request. The controller may have to wait for a higher token,
// so the request is repeated only after an interval, or to another controller.
func (m *Machine) RequestForget(task string, attempt uint64, now, repeatInterval time.Duration) bool {
	i := m.index(task, attempt)
	if i < 0 {
		return false
	}
	t := &m.tracked[i]
	if t.forgetRequest > 0 && now-t.forgetRequest < repeatInterval {
		return false
	}
	t.forgetRequest = now
	return true
}

// AssignTo records the controller that the machine reports to, and the token that it has issued.
func (m *Machine) AssignTo(node string, token uint64) {
	if node != m.Node {
		for i := range m.tracked {
			m.tracked[i].forgetRequest = 0
		}
	}
	m.Node, m.GrantedToken = node, token
}
