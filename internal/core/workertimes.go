package core

import (
	"time"

	"pepperlever/internal/settings"
)

// leaseDrift is the factor by which a worker's lease may last longer because of clock drift.
const leaseDrift = 1.001

// workerTimes provides the intervals and deadlines that the settings define for workers.
type workerTimes struct{ settings *settings.Settings }

// reportInterval returns the time between two reports of a worker.
func (t workerTimes) reportInterval() time.Duration {
	return seconds(t.settings.Params.Workers.ReportS)
}

// lease returns how long a worker goes on without an answer to its reports.
func (t workerTimes) lease() time.Duration { return seconds(t.settings.Params.Workers.LeaseS) }

// cancelDeadline returns the time that a cancellation may take.
func (t workerTimes) cancelDeadline() time.Duration {
	return seconds(t.settings.Params.Workers.CancelS)
}

// stalenessBound returns how long a controller may miss cancellations before it must stop answering
// its workers, so that their leases expire and cancelled tasks end in time. The rest of the
// cancellation deadline covers the lease, with clock drift, and one report interval.
func (t workerTimes) stalenessBound() time.Duration {
	lease := time.Duration(leaseDrift * float64(t.lease()))
	return max(t.reportInterval(), t.cancelDeadline()-lease-t.reportInterval())
}

// cancelDeadlineCoversLease reports whether the cancellation deadline leaves time for a lease
// and two report intervals.
func (t workerTimes) cancelDeadlineCoversLease() bool { return t.stalenessBound() > t.reportInterval() }
