package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
)

// handleSiteMessage handles a message from another site, or forwards it to the controller that runs
// the coordinator.
func (f *federationAdapter) handleSiteMessage(m federation.Message) {
	switch {
	case f == nil:
	case f.running():
		f.passToCoordinator(m)
	case f.shard.leader != "" && f.shard.leader != f.core.cfg.Node:
		f.core.route(f.shard.leader, PeerMessage{Federation: &FederationMessage{Message: &m}})
	}
}

// passToCoordinator passes a message from another site to the coordinator.
func (f *federationAdapter) passToCoordinator(m federation.Message) {
	input := federation.MessageReceived{Message: m}
	if m.Kind == federation.KindOffer && m.Ticket != nil {
		if !f.core.catalog.Loaded() {
			return // the other site offers the job again
		}
		input.InfeasibleReason = f.infeasibleReason(m.Ticket)
	}
	if m.Kind == federation.KindDecision && m.Accepted {
		f.recordRemoteProgress(m)
	}
	f.add(input)
}

// infeasibleReason returns why a job of another site can never run here, or "" if it can.
func (f *federationAdapter) infeasibleReason(t *federation.Ticket) string {
	spec, err := job.Parse(t.Body, f.core.limits.maxSpecBytes())
	if err != nil {
		return err.Error()
	}
	if len(spec.Dependencies) > 0 {
		return "job awaits jobs of its own site"
	}
	if r := f.core.submissionCheck().reject(f.core.teamsByName[spec.Team], spec); r != nil {
		return r.reason
	}
	return ""
}

// cancelOutgoing forwards the cancellation of an outgoing job to the controller that runs the
// coordinator. The user gets a temporary error and must retry: the cancellation is confirmed only
// once the other site has reported the end of the job.
func (c *Core) cancelOutgoing(m Cancel) {
	c.replyUnavailable(m.Req)
	c.federation.forward(FederationMessage{Cancel: m.ID})
}

// forward passes a message to the controller that runs the coordinator.
func (f *federationAdapter) forward(message FederationMessage) {
	switch {
	case f == nil || f.shard.leader == "":
	case f.running():
		f.handleFederationMessage(f.core.cfg.Node, message)
	default:
		f.core.route(f.shard.leader, PeerMessage{Federation: &message})
	}
}

// handleFederationMessage handles a message about the federation from a controller of this site.
func (f *federationAdapter) handleFederationMessage(from string, message FederationMessage) {
	switch {
	case f == nil:
	case message.Message != nil:
		if f.running() { // never forwarded a second time
			f.passToCoordinator(*message.Message)
		}
	case message.Progress != nil:
		for id, progress := range message.Progress {
			f.core.handoffs.announceProgress(id, progress)
		}
	case message.Cancel != "" && f.running():
		f.add(federation.CancelRequested{JobID: message.Cancel})
	case message.Request != nil && f.running():
		f.runOperatorRequest(requestOrigin{from, message.Request.Req}, *message.Request)
	case message.Reply != nil:
		f.core.reply(message.Reply.Req, message.Reply.Status, json.RawMessage(message.Reply.Body))
	}
}
