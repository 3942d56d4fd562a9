package core

import (
	"fmt"

	"pepperlever/internal/federation"
)

// runFederation hands the coordinator what has happened and carries its effects out.
func (c *Core) runFederation() {
	f := c.federation
	if !f.running() || !c.replica.loaded {
		return
	}
	if c.every(&f.jobsAt, c.reportInterval()/6) {
		f.add(c.jobsForFederation())
		c.lookUpIncomingJobs()
	}
	if f.reloadDue(c.now.Steady) {
		f.reload(c.handoffs.Records)
	}
	for len(f.inputs) > 0 || c.every(&f.stepAt, c.reportInterval()/30) {
		for _, effect := range f.coordinator.Step(c.now.Steady, f.takeInputs()...) {
			c.carryOutFederation(effect)
		}
		if !f.running() {
			return
		}
	}
}

func (c *Core) carryOutFederation(effect federation.Effect) {
	switch effect := effect.(type) {
	case federation.StoreWrite:
		c.storeFederationWrite(effect)
	case federation.Reload:
		c.federation.reloadAt = c.now.Steady + c.reportInterval()/6
	case federation.Send:
		c.sendToSite(effect.Message)
	case federation.CancelLocal:
		c.cancel(Cancel{ID: effect.LocalID})
	case federation.Answer:
		c.answerOperator(effect)
	case federation.Log:
		c.log(federationLogLevel(effect), effect.Text, effect.Attrs...)
	default:
		panic(fmt.Sprintf("core: unknown effect %T of the federation", effect))
	}
}

func federationLogLevel(line federation.Log) Level {
	if line.IsError {
		return Error
	}
	return Info
}

// sendToSite sends a message to another site, with the progress of the job that it is about.
func (c *Core) sendToSite(m federation.Message) {
	incoming, accepted := c.handoffs.Incoming[federation.IncomingID{Origin: m.To, Epoch: m.Epoch}]
	if accepted && m.Accepted {
		progress := c.jobProgress(incoming.LocalID)
		m.Done, m.Running = progress.Done, progress.Running
	}
	c.emit(SendSite{Message: m})
}
