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
		f.core.route(f.shard.leader, PeerMessage{Federation: &FederationNote{Message: &m}})
	}
}

// passToCoordinator passes a message from another site to the coordinator.
func (f *federationAdapter) passToCoordinator(m federation.Message) {
	input := federation.MessageReceived{Message: m}
	if m.Kind == federation.KindOffer && m.Ticket != nil {
		if !f.core.catalog.Loaded() {
			return // the other site offers the job again
		}
		input.Infeasible = f.infeasibleReason(m.Ticket)
	}
	if m.Kind == federation.KindDecision && m.Accepted {
		f.recordRemoteProgress(m)
	}
	f.add(input)
}

// recordRemoteProgress records the progress of a job at another site and broadcasts it to all
// controllers.
func (f *federationAdapter) recordRemoteProgress(m federation.Message) {
	id, found := f.coordinator.OutgoingJob(m.From, m.Epoch)
	if !found {
		return
	}
	f.core.handoffs.recordProgress(id, Progress{m.Done, m.Running})
	progress := map[string]Progress{id: f.core.handoffs.progressOf(id)}
	f.core.broadcast(PeerMessage{Federation: &FederationNote{Progress: progress}})
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
	if r := f.core.submissionCheck().reject(f.core.teamBy[spec.Team], spec); r != nil {
		return r.reason
	}
	return ""
}

// cancelOutgoing forwards the cancellation of an outgoing job to the other site. The user gets a
// temporary error and must retry: the cancellation is confirmed only once that site has reported the
// end of the job.
func (c *Core) cancelOutgoing(m Cancel) {
	c.replyUnavailable(m.Req)
	c.federation.forward(FederationNote{Cancel: m.ID})
}

// forward passes a note to the controller that runs the coordinator.
func (f *federationAdapter) forward(note FederationNote) {
	switch {
	case f == nil || f.shard.leader == "":
	case f.running():
		f.handleNote(f.core.cfg.Node, note)
	default:
		f.core.route(f.shard.leader, PeerMessage{Federation: &note})
	}
}

// handleNote handles a note about the federation from a controller of this site.
func (f *federationAdapter) handleNote(from string, note FederationNote) {
	switch {
	case f == nil:
	case note.Message != nil:
		if f.running() { // never forwarded a second time
			f.passToCoordinator(*note.Message)
		}
	case note.Progress != nil:
		for id, progress := range note.Progress {
			f.core.handoffs.recordProgress(id, progress)
		}
	case note.Cancel != "" && f.running():
		f.add(federation.CancelRequested{JobID: note.Cancel})
	case note.Request != nil && f.running():
		f.runOperatorRequest(requestOrigin{from, note.Request.Req}, *note.Request)
	case note.Reply != nil:
		f.core.reply(note.Reply.Req, note.Reply.Status, json.RawMessage(note.Reply.Body))
	}
}
