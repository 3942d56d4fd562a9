package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// startLedger are what this node has decided on the starts of tasks that were bound
// to a machine under one fencing term. The term is this run's alone, so it decides
// on each such start at most once: forwarded or refused, by a home's message or by
// what its own watch shows, and no other controller can forward it. What was decided
// is kept for as long as the start could come up again.
type startLedger struct {
	term uint64
	made map[taskAttempt]startDecision
}

// startDecision is what was decided on one start, when, and at which revision of the store
// its binding was there at the latest.
type startDecision struct {
	refused  bool
	at       time.Duration
	revision uint64
}

// decisionsOn are the decisions on a machine under a term, or nil for a term that has
// passed.
func (c *Core) decisionsOn(machine string, term uint64) *startLedger {
	d := c.startLedgers[machine]
	switch {
	case d == nil || term > d.term:
		d = &startLedger{term: term, made: map[taskAttempt]startDecision{}}
		c.startLedgers[machine] = d
	case term < d.term:
		return nil
	}
	return d
}

// decideOn notes a decision. A refused one is for good even where the worker comes back
// under the same term.
func (c *Core) decideOn(s *Start, refused bool) {
	if d := c.decisionsOn(s.Machine, s.Token); d != nil {
		d.made[taskAttempt{s.Task, s.Attempt}] = startDecision{refused, c.now.Steady, s.Revision}
	}
}

// decidedOn tells whether a start was decided on before, and why it is refused if it
// is. What was decided under a term that has passed, or by an earlier run of this
// process, is not known any more, and then only a report that proves the task absent
// is a reason: a refusal would have its home start the task elsewhere while it runs
// here.
func (c *Core) decidedOn(s *Start) (why string, before bool) {
	d := c.startLedgers[s.Machine]
	if !c.tokens.acquired[s.Token] || d != nil && d.term > s.Token {
		b := job.Binding{Machine: s.Machine, Attempt: s.Attempt, Term: s.Token, Session: s.Epoch}
		if m := c.machines.Get(s.Machine); m != nil {
			if evidence, _ := m.Evidence(s.Task, &b); evidence == worker.Absent {
				why = "term has passed"
			}
		}
		return why, true
	}
	if d == nil || d.term < s.Token {
		return "", false
	}
	made, before := d.made[taskAttempt{s.Task, s.Attempt}]
	if made.refused {
		why = "refused before"
	}
	return why, before
}

// decisionOn looks a decision up.
func (c *Core) decisionOn(machine string, term uint64, k taskAttempt) (startDecision, bool) {
	d := c.startLedgers[machine]
	if d == nil || d.term != term {
		return startDecision{}, false
	}
	out, ok := d.made[k]
	return out, ok
}

// shows tells whether the replica has a binding of an attempt to a machine.
func (c *Core) shows(machine string, k taskAttempt) bool {
	id, i, ok := job.SplitTask(k.task)
	j := c.jobs[id]
	if !ok || j == nil {
		return false
	}
	b := j.Bound[i]
	return b != nil && b.Stored && b.Attempt == k.attempt && b.Machine == machine
}

// forgetDecisions drops decisions whose binding the store no longer holds: a start
// that still comes for one is refused, since the replica is past it. A job that is not
// in the replica may be one that is being read again.
func (c *Core) forgetDecisions() {
	for machine, d := range c.startLedgers {
		for k, made := range d.made {
			if made.revision <= c.revision && c.settled(k) && !c.shows(machine, k) {
				delete(d.made, k)
			}
		}
		if len(d.made) == 0 && c.agents[machine] == nil && c.machines.Get(machine) == nil {
			delete(c.startLedgers, machine)
		}
	}
}

// settled tells whether the replica has a task's job as the store does, or knows that
// nothing of the job is bound any more. That its user has cancelled it says nothing of
// the kind: its tasks run on until they are stopped.
func (c *Core) settled(k taskAttempt) bool {
	id, _, _ := job.SplitTask(k.task)
	j := c.jobs[id]
	if j == nil {
		return c.finalStates[id].State == protocol.Done || c.endRevisions[id] > 0
	}
	return !c.leads(j) || !j.Dirty() && !j.InFlight
}
