package job

import "cmp"

// TaskRef identifies a task by its job and its index.
type TaskRef struct {
	Job   *Job
	Index int
}

// CompareTaskRefs orders tasks by job ID, then by index.
func CompareTaskRefs(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
}

// Load is the set of tasks that are bound to one machine and the resources that they request.
type Load struct {
	// Need is the sum of the resources of all bound tasks.
	Need  Resources
	Tasks map[TaskRef]*Binding
	// Used is Need without the tasks that have exited. The owner of the ledger computes and
	// caches it here. UsedValid is cleared whenever the cached value may be out of date.
	Used      Resources
	UsedValid bool
}

// Ledger indexes the bindings of all known jobs by machine. Between Add and Remove, every change to
// a job's bindings updates the ledger, so finding what is bound to a machine does not require a
// scan of all jobs.
type Ledger struct{ loads map[string]*Load }

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{loads: map[string]*Load{}} }

// Load returns the load of a machine, or nil if nothing is bound to it.
func (l *Ledger) Load(machine string) *Load { return l.loads[machine] }

// Invalidate discards the cached Used value of a machine after its reported tasks have changed.
func (l *Ledger) Invalidate(machine string) {
	if load := l.loads[machine]; load != nil {
		load.UsedValid = false
	}
}

// Add indexes a job's bindings and tracks their changes from now on.
func (l *Ledger) Add(j *Job) {
	j.ledger = l
	for i, b := range j.Bound {
		l.addBinding(j, i, b)
	}
}

// Remove removes a job's bindings from the index and stops tracking them.
func (l *Ledger) Remove(j *Job) {
	for i, b := range j.Bound {
		l.removeBinding(j, i, b)
	}
	j.ledger = nil
}

func (l *Ledger) addBinding(j *Job, i int, b *Binding) {
	load := l.loads[b.Machine]
	if load == nil {
		load = &Load{Tasks: map[TaskRef]*Binding{}}
		l.loads[b.Machine] = load
	}
	load.Tasks[TaskRef{j, i}] = b
	load.Need = load.Need.Plus(j.Need, 1)
	load.UsedValid = false
}

func (l *Ledger) removeBinding(j *Job, i int, b *Binding) {
	load := l.loads[b.Machine]
	delete(load.Tasks, TaskRef{j, i})
	load.Need = load.Need.Plus(j.Need, -1)
	load.UsedValid = false
	if len(load.Tasks) == 0 {
		delete(l.loads, b.Machine) // also discards the accumulated rounding errors of Need
	}
}

// setBinding sets or replaces the binding of task i.
func (j *Job) setBinding(i int, b *Binding) {
	j.clearBinding(i)
	j.Bound[i] = b
	if j.ledger != nil {
		j.ledger.addBinding(j, i, b)
	}
}

// clearBinding removes the binding of task i if it has one.
func (j *Job) clearBinding(i int) {
	b := j.Bound[i]
	if b == nil {
		return
	}
	delete(j.Bound, i)
	if j.ledger != nil {
		j.ledger.removeBinding(j, i, b)
	}
}
