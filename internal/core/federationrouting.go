package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
)

// handleSiteMessage takes a message of another site, and passes it to the coordinator's leader
// if that is another controller.
func (f *federationAdapter) handleSiteMessage(m federation.Message) {
	switch {
	case f == nil:
	case f.running():
		f.handleMessageAsLeader(m)
	case f.shard.leader != "" && f.shard.leader != f.core.cfg.Node:
		f.core.route(f.shard.leader, PeerMessage{Federation: &FederationNote{Message: &m}})
	}
}

// handleMessageAsLeader hands a message of another site to the coordinator.
func (f *federationAdapter) handleMessageAsLeader(m federation.Message) {
	input := federation.MessageReceived{Message: m}
	if m.Kind == federation.KindOffer && m.Ticket != nil {
		if !f.core.catalog.Loaded() {
			return // it is offered again
		}
		input.Infeasible = f.infeasibleReason(m.Ticket)
	}
	if m.Kind == federation.KindDecision && m.Accepted {
		f.noteRemoteProgress(m)
	}
	f.add(input)
}

// noteRemoteProgress notes how a job at another site gets on, and tells all controllers.
func (f *federationAdapter) noteRemoteProgress(m federation.Message) {
	id, found := f.coordinator.OutgoingJob(m.From, m.Epoch)
	if !found {
		return
	}
	f.core.handoffs.noteProgress(id, Progress{m.Done, m.Running})
	progress := map[string]Progress{id: f.core.handoffs.progressOf(id)}
	f.core.broadcast(PeerMessage{Federation: &FederationNote{Progress: progress}})
}

// infeasibleReason tells why a job of another site can never run here, or nothing.
func (f *federationAdapter) infeasibleReason(t *federation.Ticket) string {
	spec, err := job.Parse(t.Body, f.core.limits.maxSpecBytes())
	if err != nil {
		return err.Error()
	}
	if len(spec.Dependencies) > 0 {
		return "job awaits jobs of its own site"
	}
	if r := f.core.submissionCheck().reject(f.core.teamBy[spec.Team], spec); r != nil {
		return r.reason
	}
	return ""
}

// cancelOutgoing has the site that a job was handed to asked for its end. The user is told when
// it has one.
func (c *Core) cancelOutgoing(m Cancel) {
	c.replyUnavailable(m.Req)
	c.federation.forward(FederationNote{Cancel: m.ID})
}

// forward passes a note to the coordinator's leader.
func (f *federationAdapter) forward(note FederationNote) {
	switch {
	case f == nil || f.shard.leader == "":
	case f.running():
		f.handleNote(f.core.cfg.Node, note)
	default:
		f.core.route(f.shard.leader, PeerMessage{Federation: &note})
	}
}

// handleNote takes what another controller says about the federation.
func (f *federationAdapter) handleNote(from string, note FederationNote) {
	switch {
	case f == nil:
	case note.Message != nil:
		if f.running() { // it is not passed on a second time
			f.handleMessageAsLeader(*note.Message)
		}
	case note.Progress != nil:
		for id, progress := range note.Progress {
			f.core.handoffs.noteProgress(id, progress)
		}
	case note.Cancel != "" && f.running():
		f.add(federation.CancelRequested{JobID: note.Cancel})
	case note.Request != nil && f.running():
		f.runOperatorRequest(operator{from, note.Request.Req}, *note.Request)
	case note.Reply != nil:
		f.core.reply(note.Reply.Req, note.Reply.Status, json.RawMessage(note.Reply.Body))
	}
}
