package core

// reconciler keeps what runs on machines in line with the bindings of the jobs that this node
// leads: it sends starts, ends the bindings of tasks that are proven gone, fences what stays
// unproven, and stops what must not run.
type reconciler struct {
	core *Core
	*environment
	// orphanLookups names the jobs of reported tasks that are being looked up in the store.
	orphanLookups map[string]bool
}

func newReconciler(c *Core) *reconciler {
	return &reconciler{
		core:          c,
		environment:   c.environment,
		orphanLookups: map[string]bool{},
	}
}
