package core

import (
	"fmt"

	"pepperlever/internal/federation"
)

// run passes the queued inputs to the coordinator and carries out its effects.
func (f *federationAdapter) run() {
	if !f.running() || !f.core.replica.loaded {
		return
	}
	if f.core.every(&f.nextJobUpdate, f.core.reportInterval()/6) {
		f.add(f.waitingJobs())
		f.lookUpIncomingJobs()
	}
	if f.reloadDue(f.core.now.Steady) {
		f.reload(f.core.handoffs.Records)
	}
	for len(f.inputs) > 0 || f.core.every(&f.nextStep, f.core.reportInterval()/30) {
		for _, effect := range f.coordinator.Step(f.core.now.Steady, f.takeInputs()...) {
			f.executeEffect(effect)
		}
		if !f.running() {
			return
		}
	}
	f.progress.flush()
}

func (f *federationAdapter) executeEffect(effect federation.Effect) {
	switch effect := effect.(type) {
	case federation.StoreWrite:
		f.executeWrite(effect)
	case federation.Reload:
		f.reloadAt = f.core.now.Steady + f.core.reportInterval()/6
	case federation.Send:
		f.sendToSite(effect.Message)
	case federation.CancelLocal:
		f.core.cancel(Cancel{ID: effect.LocalID})
	case federation.Answer:
		f.handleAnswer(effect)
	case federation.Log:
		f.core.log(federationLogLevel(effect), effect.Text, effect.Attrs...)
	default:
		panic(fmt.Sprintf("core: unknown federation effect %T", effect))
	}
}

func federationLogLevel(line federation.Log) Level {
	if line.IsError {
		return Error
	}
	return Info
}

// sendToSite sends a message to another site. A message about an accepted job includes its progress.
func (f *federationAdapter) sendToSite(m federation.Message) {
	incoming, accepted := f.core.handoffs.Incoming[federation.IncomingID{Origin: m.To, Epoch: m.Epoch}]
	if accepted && m.Accepted {
		progress := f.core.jobProgress(incoming.LocalID)
		m.Done, m.Running = progress.Done, progress.Running
	}
	f.core.emit(SendSite{Message: m})
}
