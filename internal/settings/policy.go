package settings

// Policy holds the operator's knobs. Without a script the defaults rule.
type Policy struct {
	// WindowS is the tumbling window of remembered use.
	WindowS float64
	// TimeoutS is how long a team waits before it jumps ahead.
	TimeoutS float64
	// Headroom is the share of the capacity in use that is kept free.
	Headroom float64
	// Preemption allows stopping tasks to make room.
	Preemption bool
	// Spot allows renting spot machines.
	Spot bool
}

// DefaultPolicy has the starting values of the design.
func DefaultPolicy() Policy {
	return Policy{WindowS: 600, TimeoutS: 30, Preemption: true, Spot: true}
}
