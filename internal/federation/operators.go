package federation

import "errors"

// Errors returned to operators.
var (
	errRecordsNotLoaded   = errors.New("records are not loaded yet")
	errWritePending       = errors.New("another change is in progress, try again")
	errNotStored          = errors.New("change was not confirmed, try again")
	errNotOutgoing        = errors.New("job is not handed off")
	errGiveUpUnattributed = errors.New("operator and reason are required to give up a hand-off")
	errResumeUnattributed = errors.New("operator and reason are required to resume hand-offs")
)

// notSuspendedError reports a ResumeHandOffs for a site with which hand-offs are not suspended.
type notSuspendedError struct{ site Site }

// Error returns a message that names the site.
func (e notSuspendedError) Error() string {
	return "hand-offs with " + string(e.site) + " are not suspended"
}

// unknownPeerError reports an instruction about a site that is not a configured peer.
type unknownPeerError struct{ site Site }

// Error returns a message that names the site.
func (e unknownPeerError) Error() string { return string(e.site) + " is not a configured peer" }

// repeatNotAllowedError reports a GiveUp for a job whose class does not allow it to run twice.
type repeatNotAllowedError struct{ class string }

// Error returns a message that names the class.
func (e repeatNotAllowedError) Error() string { return "class " + e.class + " does not allow a repeat" }

// answerError answers a request with an error.
func (c *Coordinator) answerError(req uint64, err error) {
	c.emit(Answer{Req: req, Error: err.Error()})
}

// handleGiveUp reverts the hand-off of an outgoing job without an answer from its receiver.
func (c *Coordinator) handleGiveUp(in GiveUp) {
	outgoing, found := c.records.Outgoing[in.JobID]
	switch {
	case !found:
		c.answerError(in.Req, errNotOutgoing)
	case in.Operator == "" || in.Reason == "":
		c.answerError(in.Req, errGiveUpUnattributed)
	case !c.cfg.class(outgoing.Ticket.Class).AllowsRepeat:
		c.answerError(in.Req, repeatNotAllowedError{outgoing.Ticket.Class})
	default:
		c.writeFor(in.Req, outgoingSubject(in.JobID), RevertOutgoing{
			JobID:     in.JobID,
			Epoch:     outgoing.Epoch,
			Cancelled: outgoing.CancelRequested,
			Operator:  in.Operator,
			Reason:    in.Reason,
		})
	}
}

// handleDrain disables or re-enables new hand-offs with a site on an operator's instruction.
func (c *Coordinator) handleDrain(in Drain) {
	if _, known := c.cfg.peer(in.Site); !known {
		c.answerError(in.Req, unknownPeerError{in.Site})
		return
	}
	c.writeFor(in.Req, drainedSubject(in.Site), SetDrained{Site: in.Site, Drained: in.Drained})
}

// onDrained applies the stored drain setting of a site and answers the operator.
func (c *Coordinator) onDrained(w SetDrained, req uint64) {
	c.records.Drained[w.Site] = w.Drained
	c.log("drain setting of peer changed", "peer", w.Site, "drained", w.Drained)
	c.emit(Answer{Req: req, State: drainStateName(w.Drained)})
}

func drainStateName(drained bool) string {
	if drained {
		return "drained"
	}
	return "open"
}
