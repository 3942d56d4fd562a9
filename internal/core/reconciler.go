package core

// reconciler reconciles the tasks that run on machines with the bindings of the jobs that this node
// leads. It sends starts, ends the bindings of tasks that have exited or are proven absent, fences
// bindings that the reports don't resolve, and stops tasks that must not run.
type reconciler struct {
	core *Core
	*environment
	// orphanLookups holds the IDs of jobs that are not known to be active, and are being looked up
	// because a machine reports tasks of them.
	orphanLookups map[string]bool
}

func newReconciler(c *Core) *reconciler {
	return &reconciler{
		core:          c,
		environment:   c.environment,
		orphanLookups: map[string]bool{},
	}
}
