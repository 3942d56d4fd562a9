package federation

import "errors"

// Errors that operators are answered with.
var (
	errRecordsNotLoaded = errors.New("records are not read yet")
	errWritePending     = errors.New("another change is on its way, try again")
	errNotStored        = errors.New("not stored, try again")
	errNotOutgoing      = errors.New("job is not away")
	errGiveUpUnsigned   = errors.New("who gives it up, and why, must be said")
	errRenewUnsigned    = errors.New("who renews, and why, must be said")
)

// notSuspendedError answers the renewal of a site with which hand-offs go on.
type notSuspendedError struct{ site Site }

// Error names the site.
func (e notSuspendedError) Error() string {
	return "hand-offs with " + string(e.site) + " are not stopped"
}

// unknownPeerError answers an instruction about a site that is not configured.
type unknownPeerError struct{ site Site }

// Error names the site.
func (e unknownPeerError) Error() string { return string(e.site) + " is no peer" }

// noRepeatError answers the give-up of a job that must not run twice.
type noRepeatError struct{ class string }

// Error names the class.
func (e noRepeatError) Error() string { return "class " + e.class + " does not allow a repeat" }

// answerError answers an operator's request that is not carried out.
func (c *Coordinator) answerError(req uint64, err error) {
	c.emit(Answer{Req: req, Error: err.Error()})
}

// handleGiveUp takes a job back without an answer of its receiver.
func (c *Coordinator) handleGiveUp(in GiveUp) {
	outgoing, found := c.records.Outgoing[in.JobID]
	switch {
	case !found:
		c.answerError(in.Req, errNotOutgoing)
	case in.Operator == "" || in.Reason == "":
		c.answerError(in.Req, errGiveUpUnsigned)
	case !c.cfg.class(outgoing.Ticket.Class).AllowsRepeat:
		c.answerError(in.Req, noRepeatError{outgoing.Ticket.Class})
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

// handleDrain notes whether an operator wants no new hand-offs with a site.
func (c *Coordinator) handleDrain(in Drain) {
	if _, known := c.cfg.peer(in.Site); !known {
		c.answerError(in.Req, unknownPeerError{in.Site})
		return
	}
	c.writeFor(in.Req, drainedSubject(in.Site), SetDrained{Site: in.Site, Drained: in.Drained})
}

// onDrained answers the operator once the drain of a site has changed.
func (c *Coordinator) onDrained(w SetDrained, req uint64) {
	c.records.Drained[w.Site] = w.Drained
	c.log("drain of peer changed", "peer", w.Site, "drained", w.Drained)
	c.emit(Answer{Req: req, State: drainedText(w.Drained)})
}

func drainedText(drained bool) string {
	if drained {
		return "drained"
	}
	return "open"
}
