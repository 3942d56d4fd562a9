package core

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// retryAfter is the pause in whole seconds that a user is asked for.
const retryAfter = 1

func (c *Core) reply(req uint64, status int, body any) {
	c.emit(Answer{Req: req, Status: status, Body: body})
}

// replyUnavailable answers at once that the node cannot tell now.
func (c *Core) replyUnavailable(req uint64) {
	c.emit(Answer{Req: req, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Body: protocol.Problem{Error: "try again later"}})
}

func (c *Core) replyUnknown(req uint64) {
	c.reply(req, http.StatusNotFound, protocol.Problem{Error: "no such job"})
}

// userTxn and userGet are txn and get for requests that a user waits for.
func (c *Core) userTxn(t protocol.Txn, done func(StoreReply)) {
	c.emit(StoreTxn{ID: c.expectReply(done), Txn: t, Quick: true})
}

func (c *Core) userGet(key string, done func(StoreReply)) {
	c.emit(StoreGet{ID: c.expectReply(done), Key: key, Quick: true})
}

// submit accepts a job by one conditional write; only then is it accepted.
func (c *Core) submit(m Submit) {
	s, err := job.Parse(m.Body, c.limits.maxSpecBytes())
	if err != nil {
		c.rejectSubmission(m.Req, job.SubmittedID(m.Body), http.StatusBadRequest, err.Error())
		return
	}
	if _, ended := c.finalStates[s.ID]; ended || c.jobs[s.ID] != nil {
		c.answerRepeated(m.Req, s.ID)
		return
	}
	t := c.teamBy[s.Team]
	if t != nil && !c.catalog.Loaded() || !c.loaded || !c.storeOK {
		c.replyUnavailable(m.Req)
		return
	}
	if c.federation != nil && strings.HasPrefix(s.ID, federation.LocalPrefix) {
		c.reply(m.Req, http.StatusBadRequest, protocol.Problem{Error: "job id is kept for jobs of other sites"})
		return
	}
	if why := c.rejectionReason(t, s); why != "" && !(t != nil && c.elsewhere(s)) {
		c.rejectSubmission(m.Req, s.ID, http.StatusUnprocessableEntity, why)
		return
	}
	if len(s.Awaits) > 0 {
		c.submitDependent(m.Req, t, s)
		return
	}
	c.accept(m.Req, t, s)
}

// rejectSubmission turns a submission down, unless the job was accepted earlier: the settings, the
// catalogue or what is checked of a description may have changed since, and an accepted
// job is never refused. One without a job's id can't have been accepted.
func (c *Core) rejectSubmission(req uint64, id string, status int, why string) {
	if id == "" {
		c.reply(req, status, protocol.Problem{Error: why})
		return
	}
	c.lookUp(id, func(f lookupResult, s protocol.JobState) {
		if f == lookupAbsent {
			c.reply(req, status, protocol.Problem{Error: why})
			return
		}
		c.replyLookup(req, f, s)
	})
}

func (c *Core) accept(req uint64, t *team, s *job.Spec) {
	s.Accepted = c.now.Wall
	head := c.newJob(*s).Head()
	active := jobKey(s.ID)
	c.userTxn(protocol.Txn{
		If:   []protocol.Condition{{Key: keyState + s.ID}, {Key: active}},
		Then: []protocol.Change{{Put: active, Value: head}},
	}, func(r StoreReply) {
		switch r.Outcome {
		case Applied:
			c.log(Debug, "job accepted", "job", s.ID, "team", t.Name, "class", s.Class, "tasks", s.Tasks, "cpus", s.Need.CPUs, "memory", s.Need.MemoryGB, "estimate", s.EstimateS, "awaits", s.Awaits)
			c.announce(protocol.KeyValue{Key: active, Value: head, Version: r.Revision})
			c.reply(req, http.StatusCreated, protocol.JobState{ID: s.ID, State: protocol.Queued})
		case Conflict:
			c.answerRepeated(req, s.ID)
		default:
			c.replyUnavailable(req)
		}
	})
}

// announce tells every controller of an accepted job at once, ahead of the watch: its home
// starts it, and any other may be asked to accept a job that awaits it a moment later.
func (c *Core) announce(item protocol.KeyValue) {
	c.onPut(item)
	c.broadcast(PeerMessage{Accepted: &item})
}

// rejectionReason tells why a job can never run, or nothing. What only has to wait, for other
// tasks to end or for machines to be had, may run.
func (c *Core) rejectionReason(t *team, s *job.Spec) string {
	if t == nil {
		return "team is unknown"
	}
	if !withinLimit(t, job.Resources{}.Plus(s.Need, float64(s.AtOnce()))) {
		return "job needs more than the limit of its team"
	}
	if s.Zone != "" && !slices.Contains(c.cfg.Params.Zones, s.Zone) {
		return "zone is unknown"
	}
	switch zones := c.feasibleZones(s); {
	case zones == 0:
		return "no allowed machine type can hold a task"
	case s.Spread && s.AtOnce() > 1 && (s.OneZone || zones == 1):
		return "its tasks would all be in one zone, over which they are to be spread"
	}
	return ""
}

// feasibleZones counts the zones in which the cloud has a machine type that the job allows
// and that holds a task. A type that is listed in no zone can't be rented.
func (c *Core) feasibleZones(s *job.Spec) int {
	zones := map[string]bool{}
	for _, typ := range c.catalog.All() {
		for _, zone := range typ.Zones {
			if s.Need.Fits(catalog.Capacity(typ)) && s.Allows(typ.Name, zone, s.Spot) {
				zones[zone] = true
			}
		}
	}
	return len(zones)
}

// withinLimit tells whether a team may use that much; a limit of 0 means none.
func withinLimit(t *team, r job.Resources) bool {
	return (t.CPUsMax <= 0 || r.CPUs <= t.CPUsMax+1e-6) && (t.GPUsMax <= 0 || r.GPUs <= t.GPUsMax+1e-6)
}

// answerRepeated answers a submission of a known job with its current state.
func (c *Core) answerRepeated(req uint64, id string) {
	c.lookUp(id, func(f lookupResult, s protocol.JobState) {
		if f == lookupAbsent {
			f = lookupUnavailable // its acceptance is on its way, or was never carried out
		}
		c.replyLookup(req, f, s)
	})
}

// status tells the state of a job as of now: only a final one may come from
// memory, since it never changes.
func (c *Core) status(m Status) {
	if !job.ValidID(m.ID) {
		c.replyUnknown(m.Req)
		return
	}
	c.lookUp(m.ID, func(f lookupResult, s protocol.JobState) {
		c.stats.Asked(m.ID, f != lookupUnavailable, c.now.Steady)
		c.replyLookup(m.Req, f, s)
	})
}

// replyLookup answers with what was found out about a job.
func (c *Core) replyLookup(req uint64, f lookupResult, s protocol.JobState) {
	switch f {
	case lookupActive, lookupFinal:
		c.reply(req, http.StatusOK, s)
	case lookupAbsent:
		c.replyUnknown(req)
	default:
		c.replyUnavailable(req)
	}
}

// list tells an operator of the jobs that have not ended, from the replica: it may
// lag, and no rule depends on it.
func (c *Core) list(m List) {
	if !c.loaded {
		c.replyUnavailable(m.Req)
		return
	}
	out := protocol.JobList{Jobs: []protocol.JobRow{}}
	awaitsBytes := 0
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if id <= m.After {
			continue
		}
		j := c.jobs[id]
		awaitsBytes += j.AwaitsBytes()
		if out.More = len(out.Jobs) == protocol.JobsPage || len(out.Jobs) > 0 && awaitsBytes > protocol.PageAwaitsBytes; out.More {
			break
		}
		row := protocol.JobRow{JobState: c.jobProgress(id), Team: j.Team, Class: j.Class, Priority: protocol.Priorities[j.Priority], Tasks: j.Tasks}
		if j.Cancelled {
			row.State = protocol.Cancelled
		}
		out.Jobs = append(out.Jobs, row)
	}
	c.reply(m.Req, http.StatusOK, out)
}

// jobProgress is what the user of a job that is not final is told of its progress.
func (c *Core) jobProgress(id string) protocol.JobState {
	s := protocol.JobState{ID: id, State: protocol.Queued, Awaits: c.dependencies.graph.Awaited(id)}
	if c.isOutgoing(id) {
		s.Done, s.Running = c.handoffs.progress[id].Done, c.handoffs.progress[id].Running
	} else if j := c.jobs[id]; j != nil {
		s.Done, s.Running = min(j.Done.Len(), j.Tasks-1), c.runningTasks(j)
	}
	if s.Running > 0 {
		s.State = protocol.Running
	}
	return s
}

// runningTasks counts the running tasks of a job, once in a while: users ask often,
// and the count is for display.
func (c *Core) runningTasks(j *job.Job) int {
	if j.CountedAt > 0 && c.now.Steady-j.CountedAt < c.reportInterval()/6 {
		return j.Running
	}
	n := 0
	for i, b := range j.Bound {
		if m := c.machines.Get(b.Machine); m != nil {
			if t, ok := m.Find(j.TaskID(i), b.Attempt); ok && t.State == protocol.Running {
				n++
			}
		}
	}
	j.Running, j.CountedAt = n, c.now.Steady
	return n
}

// cancel stores the cancellation, and with it the key that no binding or
// completion of the job can pass any more, before it answers.
func (c *Core) cancel(m Cancel) {
	if !job.ValidID(m.ID) {
		c.replyUnknown(m.Req)
		return
	}
	if c.federation != nil && m.Req != 0 && strings.HasPrefix(m.ID, federation.LocalPrefix) {
		c.reply(m.Req, http.StatusUnprocessableEntity, protocol.Problem{Error: "job is of another site: cancel it there"})
		return
	}
	if c.jobs[m.ID] != nil && c.storeOK {
		c.storeCancel(m)
		return
	}
	c.lookUp(m.ID, func(f lookupResult, s protocol.JobState) {
		if f == lookupActive {
			c.storeCancel(m)
			return
		}
		c.replyLookup(m.Req, f, s)
	})
}

// storeCancel cancels a job that was accepted: it stays so until it has a final
// state, so that it has none is all that the write depends on.
func (c *Core) storeCancel(m Cancel) {
	if c.isOutgoing(m.ID) {
		c.cancelAway(m)
		return
	}
	state := keyState + m.ID
	c.userTxn(protocol.Txn{
		If:   append([]protocol.Condition{{Key: state}}, c.notHandedOff(m.ID)...),
		Then: []protocol.Change{putJSON(state, finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey(m.ID), cancelRecord{RequestedAt: c.now.Wall})},
	}, func(r StoreReply) {
		switch r.Outcome {
		case Applied:
			c.log(Debug, "job cancelled", "job", m.ID)
			c.noteCancellation(Cancellation{Job: m.ID, Revision: r.Revision, RequestedAt: c.now.Wall})
			c.announceCancel(m.ID)
			c.lookUp(m.ID, func(f lookupResult, s protocol.JobState) { c.replyLookup(m.Req, f, s) })
		case Conflict:
			if slices.Contains(r.Failed, awayKey(m.ID)) {
				c.cancelAway(m)
				return
			}
			c.lookUp(m.ID, func(f lookupResult, s protocol.JobState) {
				if f == lookupActive {
					f = lookupUnavailable // the repeated request tells
				}
				c.replyLookup(m.Req, f, s)
			})
		default:
			c.replyUnavailable(m.Req) // the repeated request finds out what came of it
		}
	})
}

// health tells the load balancer to look elsewhere when others can reach the state
// service and this node cannot. In an outage that half of the peers that it hears see
// too it stays up, since refusing at once serves users better than an empty list of
// nodes: one of them was enough once, and two controllers that were cut off together
// kept their users. A node that hears neither the state service nor a peer
// takes itself to be cut off.
func (c *Core) health(m Health) {
	heard, down := 0, 0
	for _, p := range c.peers {
		if c.now.Steady-p.lastContact < 2*c.reportInterval() {
			heard++
			if !p.storeOK {
				down++
			}
		}
	}
	outage := len(c.peers) == 0 || down > 0 && 2*down >= heard
	if !c.loaded || !c.catalog.Loaded() || !c.storeOK && !outage {
		c.replyUnavailable(m.Req)
		return
	}
	c.reply(m.Req, http.StatusOK, struct{}{})
}
