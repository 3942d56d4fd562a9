package job

import "cmp"

// TaskRef names a task of a known job.
type TaskRef struct {
	Job   *Job
	Index int
}

// CompareTaskRefs orders tasks by job and index.
func CompareTaskRefs(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
}

// Load is what is bound to one machine.
type Load struct {
	// Need is the sum of what the bound tasks take.
	Need  Resources
	Tasks map[TaskRef]*Binding
	// Used is Need without the tasks that have exited, as the owner of the ledger last worked
	// it out; UsedCurrent is unset whenever that may have changed.
	Used        Resources
	UsedCurrent bool
}

// Ledger holds the bindings of all known jobs by machine. A job enters it with Add and leaves it
// with Remove; between the two each change of a binding passes through it, so that no step has to
// walk all jobs to learn what is on a machine.
type Ledger struct{ loads map[string]*Load }

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{loads: map[string]*Load{}} }

// Load is what is bound to a machine, or nil when nothing is.
func (l *Ledger) Load(machine string) *Load { return l.loads[machine] }

// Invalidate notes that the machine itself has changed.
func (l *Ledger) Invalidate(machine string) {
	if load := l.loads[machine]; load != nil {
		load.UsedCurrent = false
	}
}

// Add enters a job's bindings and follows them from now on.
func (l *Ledger) Add(j *Job) {
	j.ledger = l
	for i, b := range j.Bound {
		l.enter(j, i, b)
	}
}

// Remove takes a job's bindings out and no longer follows them.
func (l *Ledger) Remove(j *Job) {
	for i, b := range j.Bound {
		l.leave(j, i, b)
	}
	j.ledger = nil
}

func (l *Ledger) enter(j *Job, i int, b *Binding) {
	load := l.loads[b.Machine]
	if load == nil {
		load = &Load{Tasks: map[TaskRef]*Binding{}}
		l.loads[b.Machine] = load
	}
	load.Tasks[TaskRef{j, i}] = b
	load.Need = load.Need.Plus(j.Need, 1)
	load.UsedCurrent = false
}

func (l *Ledger) leave(j *Job, i int, b *Binding) {
	load := l.loads[b.Machine]
	delete(load.Tasks, TaskRef{j, i})
	load.Need = load.Need.Plus(j.Need, -1)
	load.UsedCurrent = false
	if len(load.Tasks) == 0 {
		delete(l.loads, b.Machine) // with the rounding errors of its sum
	}
}

// setBinding puts a binding in place of the one before.
func (j *Job) setBinding(i int, b *Binding) {
	j.clearBinding(i)
	j.Bound[i] = b
	if j.ledger != nil {
		j.ledger.enter(j, i, b)
	}
}

// clearBinding takes a binding away.
func (j *Job) clearBinding(i int) {
	b := j.Bound[i]
	if b == nil {
		return
	}
	delete(j.Bound, i)
	if j.ledger != nil {
		j.ledger.leave(j, i, b)
	}
}
