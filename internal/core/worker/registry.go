package worker

import (
	"iter"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Registry holds all known machines, what is bound to them, and when each zone was last
// heard. Machines are visited in the order of their names, so that the same commands
// always give the same effects.
type Registry struct {
	byName   map[string]*Machine
	names    []string
	bindings *job.Ledger
	// longestName is the length of the longest name of a machine that was ever known.
	longestName int
	// zoneContact is when any machine of a zone last gave a sign of life.
	zoneContact map[string]time.Duration
}

// NewRegistry makes an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		byName:      map[string]*Machine{},
		bindings:    job.NewLedger(),
		zoneContact: map[string]time.Duration{},
	}
}

// Get returns a machine, or nil for one that is not known.
func (r *Registry) Get(name string) *Machine { return r.byName[name] }

// Names lists the machines in order. The caller must not change it.
func (r *Registry) Names() []string { return r.names }

// LongestName is the length of the longest name of a machine that was ever known.
func (r *Registry) LongestName() int { return r.longestName }

// All visits the machines in the order of their names. Those that are removed on the way
// are left out.
func (r *Registry) All() iter.Seq2[string, *Machine] {
	return func(yield func(string, *Machine) bool) {
		for _, name := range slices.Clone(r.names) {
			if m := r.byName[name]; m != nil && !yield(name, m) {
				return
			}
		}
	}
}

// Add enters a machine that has not been heard of before.
func (r *Registry) Add(name string, now time.Duration) *Machine {
	r.longestName = max(r.longestName, len(name))
	m := &Machine{IdleSince: now}
	r.byName[name] = m
	at, _ := slices.BinarySearch(r.names, name)
	r.names = slices.Insert(r.names, at, name)
	return m
}

// Remove forgets a machine that is gone for good.
func (r *Registry) Remove(name string) {
	delete(r.byName, name)
	if at, found := slices.BinarySearch(r.names, name); found {
		r.names = slices.Delete(r.names, at, at+1)
	}
}

// RecordContact notes a sign of life of a machine: a report, or a reply to a direct call.
func (r *Registry) RecordContact(m *Machine, direct bool, now time.Duration) {
	m.LastContact = now
	r.zoneContact[m.Zone] = now
	if !direct {
		m.LastReport = now
	}
}

// LastZoneContact is when any machine of a zone last gave a sign of life.
func (r *Registry) LastZoneContact(zone string) time.Duration { return r.zoneContact[zone] }

// TrackBindings enters a job's bindings and follows them from now on.
func (r *Registry) TrackBindings(j *job.Job) { r.bindings.Add(j) }

// UntrackBindings takes a job's bindings out and no longer follows them.
func (r *Registry) UntrackBindings(j *job.Job) { r.bindings.Remove(j) }

// Load is what is bound to a machine, or nil when nothing is.
func (r *Registry) Load(name string) *job.Load { return r.bindings.Load(name) }

// InvalidateLoad has the room on a machine worked out anew, since its report has changed.
func (r *Registry) InvalidateLoad(name string) { r.bindings.Invalidate(name) }

// HasBindings tells whether a machine has bindings of any team.
func (r *Registry) HasBindings(name string) bool { return r.Load(name) != nil }

// HasBindingsOf tells whether a machine has a binding of a job that matches.
func (r *Registry) HasBindingsOf(name string, matches func(*job.Job) bool) bool {
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

// BindingFilter tells whether a binding is to be visited.
type BindingFilter func(job.TaskRef, *job.Binding) bool

// BindingVisitor takes one binding, of the task index of a job.
type BindingVisitor func(j *job.Job, index int, b *job.Binding)

// EachStoredBinding visits the stored bindings on a machine that match, in order. The visitor
// may end them.
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

// longTaskName stands for the name of a task in estimates of the size of reports.
const longTaskName = "req-000000/00000"

// EstimateReportBytes is about how long the next report of a machine will be, with the
// tasks that are bound to it and that it does not report yet.
func (r *Registry) EstimateReportBytes(m *Machine) int {
	load := r.Load(m.Machine)
	if load == nil {
		return m.TaskListBytes
	}
	unreported := max(0, len(load.Tasks)-(len(m.Tasks)-m.ExitedTasks))
	return m.TaskListBytes + unreported*protocol.TaskBytes(longTaskName)
}

// UsedResources is what the bound tasks of a machine take. A task that its worker reports
// as exited takes nothing, even before the end is stored.
func (r *Registry) UsedResources(m *Machine) job.Resources {
	load := r.Load(m.Machine)
	if load == nil {
		return job.Resources{}
	}
	if load.UsedCurrent {
		return load.Used
	}
	load.Used, load.UsedCurrent = load.Need, true
	if m.ExitedTasks == 0 {
		return load.Used
	}
	for ref, b := range load.Tasks {
		if t, ok := m.Find(ref.Job.TaskID(ref.Index), b.Attempt); ok && t.State == protocol.Exited {
			load.Used = load.Used.Plus(ref.Job.Need, -1)
		}
	}
	return load.Used
}
