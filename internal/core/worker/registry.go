package worker

import (
	"iter"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Registry holds all known machines, the tasks bound to them, and the last contact with each zone.
// Machines are visited in the order of their names, so that the same inputs always have the same
// effects.
type Registry struct {
	byName   map[string]*Machine
	names    []string
	bindings *job.Ledger
	// longestName is the length in bytes of the longest machine name ever added.
	longestName int
	// lastContactByZone holds the time of the last contact with any machine in each zone.
	lastContactByZone map[string]time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		byName:            map[string]*Machine{},
		bindings:          job.NewLedger(),
		lastContactByZone: map[string]time.Duration{},
	}
}

// Get returns the machine with the given name, or nil if it is unknown.
func (r *Registry) Get(name string) *Machine { return r.byName[name] }

// Names returns the sorted names of all machines. The caller must not modify the slice.
func (r *Registry) Names() []string { return r.names }

// LongestName returns the length in bytes of the longest machine name ever added.
func (r *Registry) LongestName() int { return r.longestName }

// All iterates over the machines in the order of their names. It skips machines that are removed
// during the iteration.
func (r *Registry) All() iter.Seq2[string, *Machine] {
	return func(yield func(string, *Machine) bool) {
		for _, name := range slices.Clone(r.names) {
			if m := r.byName[name]; m != nil && !yield(name, m) {
				return
			}
		}
	}
}

// Add adds a machine that is not yet known.
func (r *Registry) Add(name string, now time.Duration) *Machine {
	r.longestName = max(r.longestName, len(name))
	m := &Machine{IdleSince: now}
	r.byName[name] = m
	position, _ := slices.BinarySearch(r.names, name)
	r.names = slices.Insert(r.names, position, name)
	return m
}

// Remove removes a machine that is permanently gone.
func (r *Registry) Remove(name string) {
	delete(r.byName, name)
	if position, found := slices.BinarySearch(r.names, name); found {
		r.names = slices.Delete(r.names, position, position+1)
	}
}

// RecordContact records contact with a machine: a report, or, if direct, a reply to a delivery.
func (r *Registry) RecordContact(m *Machine, direct bool, now time.Duration) {
	m.LastContact = now
	r.lastContactByZone[m.Zone] = now
	if !direct {
		m.LastReport.Record(now)
	}
}

// LastZoneContact returns the time of the last contact with any machine in a zone.
func (r *Registry) LastZoneContact(zone string) time.Duration { return r.lastContactByZone[zone] }

// TrackBindings adds a job's bindings and tracks later changes to them.
func (r *Registry) TrackBindings(j *job.Job) { r.bindings.Add(j) }

// UntrackBindings removes a job's bindings and stops tracking changes to them.
func (r *Registry) UntrackBindings(j *job.Job) { r.bindings.Remove(j) }

// Load returns the tasks bound to a machine, or nil if there are none.
func (r *Registry) Load(name string) *job.Load { return r.bindings.Load(name) }

// InvalidateLoad discards the cached resource usage of a machine, after its report has changed.
func (r *Registry) InvalidateLoad(name string) { r.bindings.Invalidate(name) }

// HasBindings reports whether any task is bound to a machine.
func (r *Registry) HasBindings(name string) bool { return r.Load(name) != nil }

// HasBindingOfJob reports whether a task of any matching job is bound to a machine.
func (r *Registry) HasBindingOfJob(name string, matches func(*job.Job) bool) bool {
	load := r.Load(name)
	if load == nil {
		return false
	}
	for ref := range load.Tasks {
		if matches(ref.Job) {
			return true
		}
	}
	return false
}

// BindingFilter reports whether a binding is to be visited.
type BindingFilter func(job.TaskRef, *job.Binding) bool

// BindingVisitor is called with the binding of the task with the given index in a job.
type BindingVisitor func(j *job.Job, index int, b *job.Binding)

// EachStoredBinding visits the matching stored bindings on a machine, in the order of jobs and
// task indexes. The visitor may remove them.
func (r *Registry) EachStoredBinding(name string, matches BindingFilter, visit BindingVisitor) {
	load := r.Load(name)
	if load == nil {
		return
	}
	var refs []job.TaskRef
	for ref, b := range load.Tasks {
		if b.Stored && matches(ref, b) {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, job.CompareTaskRefs)
	for _, ref := range refs {
		visit(ref.Job, ref.Index, load.Tasks[ref])
	}
}

// typicalTaskName is the task name assumed when the size of a report is estimated.
const typicalTaskName = "req-000000/00000"

// EstimateReportBytes estimates the size of the task list in a machine's next report, including
// the tasks that are bound to it but not reported yet.
func (r *Registry) EstimateReportBytes(m *Machine) int {
	load := r.Load(m.Machine)
	if load == nil {
		return m.TaskListBytes
	}
	unreported := max(0, len(load.Tasks)-(len(m.Tasks)-m.ExitedTasks))
	return m.TaskListBytes + unreported*protocol.MaxTaskReportBytes(typicalTaskName)
}

// UsedResources returns the resources that the tasks bound to a machine use. A task that the
// worker reports as exited uses none, even before its end is stored.
func (r *Registry) UsedResources(m *Machine) job.Resources {
	load := r.Load(m.Machine)
	if load == nil {
		return job.Resources{}
	}
	if load.UsedValid {
		return load.Used
	}
	load.Used, load.UsedValid = load.Need, true
	if m.ExitedTasks == 0 {
		return load.Used
	}
	for ref, b := range load.Tasks {
		if m.reportsExited(ref, b) {
			load.Used = load.Used.Plus(ref.Job.Need, -1)
		}
	}
	return load.Used
}

// IsIdle reports whether no task is bound to a machine, apart from those that the worker reports as
// exited. A task may need so little that it uses no resources, and still keeps its machine busy.
func (r *Registry) IsIdle(m *Machine) bool {
	load := r.Load(m.Machine)
	if load == nil {
		return true
	}
	for ref, b := range load.Tasks {
		if !m.reportsExited(ref, b) {
			return false
		}
	}
	return true
}

// reportsExited reports whether the worker reports the attempt of a binding as exited.
func (m *Machine) reportsExited(ref job.TaskRef, b *job.Binding) bool {
	t, reported := m.Find(ref.Job.TaskID(ref.Index), b.Attempt)
	return reported && t.State == protocol.Exited
}
