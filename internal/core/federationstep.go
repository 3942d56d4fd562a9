package core

import (
	"fmt"

	"pepperlever/internal/federation"
)

// run hands the coordinator what has happened and carries its effects out.
func (f *federationAdapter) run() {
	if !f.running() || !f.core.replica.loaded {
		return
	}
	if f.core.every(&f.jobsAt, f.core.reportInterval()/6) {
		f.add(f.waitingJobs())
		f.lookUpIncomingJobs()
	}
	if f.reloadDue(f.core.now.Steady) {
		f.reload(f.core.handoffs.Records)
	}
	for len(f.inputs) > 0 || f.core.every(&f.stepAt, f.core.reportInterval()/30) {
		for _, effect := range f.coordinator.Step(f.core.now.Steady, f.takeInputs()...) {
			f.carryOut(effect)
		}
		if !f.running() {
			return
		}
	}
}

func (f *federationAdapter) carryOut(effect federation.Effect) {
	switch effect := effect.(type) {
	case federation.StoreWrite:
		f.store(effect)
	case federation.Reload:
		f.reloadAt = f.core.now.Steady + f.core.reportInterval()/6
	case federation.Send:
		f.sendToSite(effect.Message)
	case federation.CancelLocal:
		f.core.cancel(Cancel{ID: effect.LocalID})
	case federation.Answer:
		f.answerOperator(effect)
	case federation.Log:
		f.core.log(federationLogLevel(effect), effect.Text, effect.Attrs...)
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
func (f *federationAdapter) sendToSite(m federation.Message) {
	incoming, accepted := f.core.handoffs.Incoming[federation.IncomingID{Origin: m.To, Epoch: m.Epoch}]
	if accepted && m.Accepted {
		progress := f.core.jobProgress(incoming.LocalID)
		m.Done, m.Running = progress.Done, progress.Running
	}
	f.core.emit(SendSite{Message: m})
}
