package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
)

// handleSiteMessage takes a message of another site, and passes it to the coordinator's leader
// if that is another controller.
func (c *Core) handleSiteMessage(m federation.Message) {
	f := c.federation
	switch {
	case f == nil:
	case f.running():
		c.handleMessageAsLeader(m)
	case f.shard.leader != "" && f.shard.leader != c.cfg.Node:
		c.route(f.shard.leader, PeerMessage{Federation: &FederationNote{Message: &m}})
	}
}

// handleMessageAsLeader hands a message of another site to the coordinator.
func (c *Core) handleMessageAsLeader(m federation.Message) {
	input := federation.MessageReceived{Message: m}
	if m.Kind == federation.KindOffer && m.Ticket != nil {
		if !c.catalog.Loaded() {
			return // it is offered again
		}
		input.Infeasible = c.infeasibleReason(m.Ticket)
	}
	if m.Kind == federation.KindDecision && m.Accepted {
		c.noteRemoteProgress(m)
	}
	c.federation.add(input)
}

// noteRemoteProgress notes how a job at another site gets on, and tells all controllers.
func (c *Core) noteRemoteProgress(m federation.Message) {
	id, found := c.federation.coordinator.OutgoingJob(m.From, m.Epoch)
	if !found {
		return
	}
	c.handoffs.noteProgress(id, Progress{m.Done, m.Running})
	progress := map[string]Progress{id: c.handoffs.progress[id]}
	c.broadcast(PeerMessage{Federation: &FederationNote{Progress: progress}})
}

// infeasibleReason tells why a job of another site can never run here, or nothing.
func (c *Core) infeasibleReason(t *federation.Ticket) string {
	spec, err := job.Parse(t.Body, c.limits.maxSpecBytes())
	if err != nil {
		return err.Error()
	}
	if len(spec.Dependencies) > 0 {
		return "job awaits jobs of its own site"
	}
	if r := c.submissionCheck().reject(c.teamBy[spec.Team], spec); r != nil {
		return r.reason
	}
	return ""
}

// cancelOutgoing has the site that a job was handed to asked for its end. The user is told when
// it has one.
func (c *Core) cancelOutgoing(m Cancel) {
	c.replyUnavailable(m.Req)
	c.forwardToFederation(FederationNote{Cancel: m.ID})
}

// forwardToFederation passes a note to the coordinator's leader.
func (c *Core) forwardToFederation(note FederationNote) {
	f := c.federation
	switch {
	case f == nil || f.shard.leader == "":
	case f.running():
		c.handleFederationNote(c.cfg.Node, note)
	default:
		c.route(f.shard.leader, PeerMessage{Federation: &note})
	}
}

// handleFederationNote takes what another controller says about the federation.
func (c *Core) handleFederationNote(from string, note FederationNote) {
	f := c.federation
	switch {
	case f == nil:
	case note.Message != nil:
		if f.running() { // it is not passed on a second time
			c.handleMessageAsLeader(*note.Message)
		}
	case note.Progress != nil:
		for id, progress := range note.Progress {
			c.handoffs.noteProgress(id, progress)
		}
	case note.Cancel != "" && f.running():
		f.add(federation.CancelRequested{JobID: note.Cancel})
	case note.Request != nil && f.running():
		c.runOperatorRequest(operator{from, note.Request.Req}, *note.Request)
	case note.Reply != nil:
		c.reply(note.Reply.Req, note.Reply.Status, json.RawMessage(note.Reply.Body))
	}
}
