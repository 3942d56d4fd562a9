package core

import "time"

// machineReturns tracks the machines that this node wants returned because a cancelled task
// does not end on them, or because no controller knows of them.
type machineReturns struct {
	*environment
	core *Core
	// requestedAt is when the fleet's leader was last asked to return a machine.
	requestedAt map[string]time.Duration
	// releasedAt is when this node last decided to release a machine itself.
	releasedAt map[string]time.Duration
	// confirmed holds those of them that the cloud has taken back.
	confirmed map[string]bool
	// pending holds the machines whose release is still to be sent to the cloud.
	pending []string
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

// repeatAfter tells whether an interval has passed since a machine's last entry, and if so
// makes a new one.
func repeatAfter(last map[string]time.Duration, machine string, now, interval time.Duration) bool {
	if at, ok := last[machine]; ok && now-at < interval {
		return false
	}
	last[machine] = now
	return true
}

// confirm notes that the cloud has taken a machine, if this node has released it.
func (r *machineReturns) confirm(machine string) {
	if _, released := r.releasedAt[machine]; released {
		r.confirmed[machine] = true
	}
}

// isConfirmed tells whether the cloud has taken a machine that this node released.
func (r *machineReturns) isConfirmed(machine string) bool { return r.confirmed[machine] }
