package core

import "time"

// machineReturns tracks the machines that this node wants to return to the cloud because a
// cancelled task does not end on them, or because tasks are bound to them although this node does
// not know them or has not heard from them for a long time.
type machineReturns struct {
	*environment
	core *Core
	// requestedAt holds the time at which the return of each machine was last requested from the
	// fleet leader.
	requestedAt map[string]time.Duration
	// releasedAt holds the time at which this node last decided to release each machine itself.
	releasedAt map[string]time.Duration
	// confirmed holds the machines in releasedAt whose release the cloud has confirmed.
	confirmed map[string]bool
	// pendingReleases holds the machines whose release has not been sent to the cloud yet.
	pendingReleases []string
}

func newMachineReturns(core *Core) *machineReturns {
	return &machineReturns{
		environment: core.environment,
		core:        core,
		requestedAt: map[string]time.Duration{},
		releasedAt:  map[string]time.Duration{},
		confirmed:   map[string]bool{},
	}
}

// recordIfDue records the current time for a machine if none is recorded or an interval has passed
// since, and reports whether it did.
func recordIfDue(last map[string]time.Duration, machine string, now, interval time.Duration) bool {
	if at, ok := last[machine]; ok && now-at < interval {
		return false
	}
	last[machine] = now
	return true
}

// confirm records that the cloud has released a machine, if this node has requested that.
func (r *machineReturns) confirm(machine string) {
	if _, released := r.releasedAt[machine]; released {
		r.confirmed[machine] = true
	}
}

// isConfirmed reports whether the cloud has confirmed the release of a machine by this node.
func (r *machineReturns) isConfirmed(machine string) bool { return r.confirmed[machine] }
