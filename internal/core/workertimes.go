package core

import (
	"time"

	"pepperlever/internal/settings"
)

// leaseDrift is how much longer than its lease a worker may go on by its own clock.
const leaseDrift = 1.001

// workerTimes are the times that the settings give workers.
type workerTimes struct{ settings *settings.Settings }

// reportInterval is the pause between two heartbeats of a worker.
func (t workerTimes) reportInterval() time.Duration {
	return seconds(t.settings.Params.Workers.ReportS)
}

// lease is for how long a worker goes on without an answer to its heartbeats.
func (t workerTimes) lease() time.Duration { return seconds(t.settings.Params.Workers.LeaseS) }

// cancelDeadline is the time that a cancellation may take.
func (t workerTimes) cancelDeadline() time.Duration {
	return seconds(t.settings.Params.Workers.CancelS)
}

// stalenessBound is for how long a controller may miss cancellations before its workers have
// to be left to their leases, so that cancelled tasks end in time: the lease, with the
// drift of clocks, and a report interval are left.
func (t workerTimes) stalenessBound() time.Duration {
	lease := time.Duration(leaseDrift * float64(t.lease()))
	return max(t.reportInterval(), t.cancelDeadline()-lease-t.reportInterval())
}

// coverLease tells whether the deadline of cancellations leaves time for a lease and two reports.
func (t workerTimes) coverLease() bool { return t.stalenessBound() > t.reportInterval() }
