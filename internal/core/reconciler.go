package core

// reconciler reconciles the tasks that run on machines with the bindings of the jobs that this node
// leads. It sends start commands, removes the bindings of tasks that have exited or that a report
// proves to be absent, fences bindings that the reports don't resolve, and stops tasks that must not
// run.
type reconciler struct {
	core *Core
	*environment
	// orphanLookups holds the IDs of jobs that this node does not know to be active and is looking
	// up, because a machine reports tasks of them.
	orphanLookups map[string]bool
}

func newReconciler(c *Core) *reconciler {
	return &reconciler{
		core:          c,
		environment:   c.environment,
		orphanLookups: map[string]bool{},
	}
}
