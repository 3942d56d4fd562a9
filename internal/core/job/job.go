package job

import "time"

// Job is an accepted job without a final state, together with the bindings of its tasks. Each task
// is pending, bound or done.
type Job struct {
	Spec
	// Version is the store revision of the job's head key, 0 before it is known.
	Version uint64
	// Nonce identifies the update that wrote the head.
	Nonce     string
	Cancelled bool
	// Done holds the indexes of the tasks that are done. Bound maps task indexes to bindings.
	Done  Set
	Bound map[int]*Binding
	// Attempt is the highest attempt number in use, and StoredAttempt the highest that is known
	// to be stored. Start commands are sent only for stored bindings, so if a worker reports an
	// attempt above StoredAttempt, another leader with newer state has started it.
	Attempt, StoredAttempt uint64
	chunkLayout
	dependencyState

	// InFlight is set while a transaction that writes the job awaits the store's reply.
	InFlight bool
	// Urgent requests that the job be stored without delay. StoredAt is when it was last
	// written.
	Urgent   bool
	StoredAt time.Duration
	// UnstoredExits lists the attempts that have exited since the job was last stored. Their
	// workers receive the command to forget them once the outcome is stored.
	UnstoredExits []Exit

	// Suspected is set while the job itself, not the machines, is presumed to cause its
	// failures, for example because of an error in the submission. TaskSucceeded is set once a task
	// has succeeded.
	Suspected, TaskSucceeded bool
	// FailedOn lists the machines on which the job has failed since its last success. CanaryStarts
	// counts how often its next start was delayed while it was suspected and started one task at a
	// time. NotBefore is the earliest time of the next start.
	FailedOn     []string
	CanaryStarts int
	NotBefore    time.Duration

	// Started is set once a task was observed running.
	Started bool
	// Running is the number of running tasks as counted at CountedAt.
	Running   int
	CountedAt time.Duration
	// CancelledAt is when this controller learned of the job's cancellation. CancelRequestedAtMS
	// is the wall-clock time of the request in Unix milliseconds, 0 if unknown.
	CancelledAt         time.Duration
	CancelRequestedAtMS int64
	// ClaimedAt is when the newest bindings were created.
	ClaimedAt time.Duration
	// PendingSince is the time since which the job waits for resources: when it was accepted or
	// unblocked, when tasks of it were last bound, or when its hand-off record was deleted.
	PendingSince time.Duration
	// PreemptedAt is when other tasks were last preempted for this job.
	PreemptedAt time.Duration

	// pendingLowerBound is an index below which no task is pending.
	pendingLowerBound int
	// ledger is the ledger that tracks the job's bindings, nil if there is none.
	ledger *Ledger
}

// New returns a job whose head does not store the chunk size.
func New(s Spec, chunkSize int, now time.Duration) *Job {
	return &Job{
		Spec:         s,
		Bound:        map[int]*Binding{},
		chunkLayout:  newChunkLayout(chunkSize),
		PendingSince: now,
	}
}

// NewWithChunkSize returns a job whose head stores the chunk size.
func NewWithChunkSize(s Spec, chunkSize int, now time.Duration) *Job {
	j := New(s, chunkSize, now)
	j.hasExplicitSize = true
	return j
}

// Bind sets the binding of task i and marks the task as changed.
func (j *Job) Bind(i int, b *Binding) {
	j.setBinding(i, b)
	j.MarkDirty(i)
}

// Unbind removes the binding of task i, which makes the task pending again unless it is done.
func (j *Job) Unbind(i int) {
	j.clearBinding(i)
	j.pendingLowerBound = min(j.pendingLowerBound, i)
	j.MarkDirty(i)
}

// Finish marks task i as done and as changed.
func (j *Job) Finish(i int) {
	j.markDone(i)
	j.MarkDirty(i)
}

// markDone marks task i as done without marking it as changed.
func (j *Job) markDone(i int) {
	j.Done.Add(i)
	j.clearBinding(i)
}

// Claim records a claim: a binding that the job's leader has announced and not yet stored. It
// replaces an earlier claim on the task and reports whether the binding changed. Repeating the
// current claim only renews it. A claim is ignored if the task is done or has a stored binding, or if
// the claim is older than the known stored state. The next stored state of the task replaces the
// claim.
func (j *Job) Claim(i int, b *Binding) bool {
	if i >= j.Tasks || j.Done.Has(i) || b.Attempt <= j.Attempt {
		return false
	}
	current := j.Bound[i]
	switch {
	case current == nil:
	case current.Stored:
		return false
	case current.Machine == b.Machine && current.Attempt == b.Attempt:
		current.Since = b.Since
		return false
	}
	j.setBinding(i, b)
	return true
}

// ExpireClaims removes the claims that were last announced before the given time. It reports
// whether any were removed and whether any are left.
func (j *Job) ExpireClaims(before time.Duration) (expired, left bool) {
	for i, b := range j.Bound {
		switch {
		case b.Stored:
		case b.Since < before:
			j.clearBinding(i)
			j.pendingLowerBound = min(j.pendingLowerBound, i)
			expired = true
		default:
			left = true
		}
	}
	return expired, left
}

// UnstoredBindings returns the number of bindings that are not known to be stored.
func (j *Job) UnstoredBindings() (n int) {
	for _, b := range j.Bound {
		if !b.Stored {
			n++
		}
	}
	return n
}

// DropUnstored removes the bindings that are not stored, which a previous leader has announced.
func (j *Job) DropUnstored() {
	for i, b := range j.Bound {
		if !b.Stored {
			j.clearBinding(i)
		}
	}
	j.pendingLowerBound = 0
}

// Complete reports whether every task is done.
func (j *Job) Complete() bool { return j.Done.Len() == j.Tasks }

// PendingTasks returns the number of tasks that can be bound: those neither done nor bound, or 0 if
// the job is cancelled or blocked.
func (j *Job) PendingTasks() int {
	if j.Cancelled || j.Blocked {
		return 0
	}
	return j.Tasks - j.Done.Len() - len(j.Bound)
}

// isPending reports whether task i is neither done nor bound.
func (j *Job) isPending(i int) bool { return !j.Done.Has(i) && j.Bound[i] == nil }

// NextPending returns the index of the first pending task at or after i, or -1 if there is none.
func (j *Job) NextPending(i int) int {
	i = max(i, j.pendingLowerBound)
	fromLowerBound := i == j.pendingLowerBound
	for ; i < j.Tasks; i++ {
		if !j.isPending(i) {
			continue
		}
		if fromLowerBound {
			j.pendingLowerBound = i
		}
		return i
	}
	return -1
}
