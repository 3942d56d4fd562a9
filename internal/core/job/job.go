package job

import "time"

// Job is an accepted job that is not final, with its tasks' bindings. Tasks are pending, bound or
// done.
type Job struct {
	Spec
	// Version is the revision of the job's head key, 0 before it is known.
	Version uint64
	// Nonce marks the update that wrote the head.
	Nonce     string
	Cancelled bool
	// Done holds the tasks that are done, Bound the bindings by task.
	Done  Set
	Bound map[int]*Binding
	// Attempt is the highest attempt number in use, StoredAttempt the highest that the store is
	// known to hold. No higher one can have been started by a leader that knows no more.
	Attempt, StoredAttempt uint64
	layout
	blocking

	// InFlight is set while a transaction on the job is not answered.
	InFlight bool
	// Urgent asks for the job to be stored without delay; StoredAt is when it last was.
	Urgent   bool
	StoredAt time.Duration
	// UnstoredExits lists the attempts that have exited since the job was last stored; their
	// workers forget them once the store holds what became of them.
	UnstoredExits []Exit

	// Suspected is set while the job is taken to have been submitted with a mistake, Proven
	// once a task of it has succeeded.
	Suspected, Proven bool
	// FailedOn names the machines that the job has failed on since it last succeeded, Probes
	// counts its canary starts, NotBefore delays the next start.
	FailedOn  []string
	Probes    int
	NotBefore time.Duration

	// Started is set once a task was seen running.
	Started bool
	// Running is how many tasks ran when they were counted, at CountedAt.
	Running   int
	CountedAt time.Duration
	// CancelledAt is when the job's cancellation became known, CancelRequestedAt the time of
	// day of the request in milliseconds, 0 if it is not known.
	CancelledAt       time.Duration
	CancelRequestedAt int64
	// ClaimedAt is when the newest bindings were made.
	ClaimedAt time.Duration
	// PendingSince is when tasks of the job were last bound, or when it was accepted.
	PendingSince time.Duration
	// PreemptedAt is when other work was last stopped for it.
	PreemptedAt time.Duration

	// firstPending is a task before which none is pending.
	firstPending int
	// ledger follows the job's bindings, if it is in one.
	ledger *Ledger
}

// New makes a job whose head does not state its chunk size.
func New(s Spec, chunkSize int, now time.Duration) *Job {
	return &Job{
		Spec:         s,
		Bound:        map[int]*Binding{},
		layout:       newLayout(chunkSize),
		PendingSince: now,
	}
}

// NewWithChunkSize makes a job whose head will state its chunk size.
func NewWithChunkSize(s Spec, chunkSize int, now time.Duration) *Job {
	j := New(s, chunkSize, now)
	j.sized = true
	return j
}

// Bind ties task i to a machine under a new attempt.
func (j *Job) Bind(i int, b *Binding) {
	j.setBinding(i, b)
	j.MarkDirty(i)
}

// Unbind ends the binding of task i.
func (j *Job) Unbind(i int) {
	j.clearBinding(i)
	j.firstPending = min(j.firstPending, i)
	j.MarkDirty(i)
}

// Finish records that task i is done.
func (j *Job) Finish(i int) {
	j.finish(i)
	j.MarkDirty(i)
}

// finish notes that task i is done, as it is stored already.
func (j *Job) finish(i int) {
	j.Done.Add(i)
	j.clearBinding(i)
}

// Claim notes a binding that the job's leader is about to store, in place of an earlier claim on
// the task, and reports whether that is news. One that the stored state is already past is
// ignored. Whatever the leader stores next replaces it.
func (j *Job) Claim(i int, b *Binding) bool {
	if i >= j.Tasks || j.Done.Has(i) || b.Attempt <= j.Attempt {
		return false
	}
	known := j.Bound[i]
	switch {
	case known == nil:
	case known.Stored:
		return false
	case known.Machine == b.Machine && known.Attempt == b.Attempt:
		known.Since = b.Since
		return false
	}
	j.setBinding(i, b)
	return true
}

// ExpireClaims forgets the claims that were last announced before a time. It reports whether it
// has forgotten any, and whether any is left.
func (j *Job) ExpireClaims(before time.Duration) (expired, left bool) {
	for i, b := range j.Bound {
		switch {
		case b.Stored:
		case b.Since < before:
			j.clearBinding(i)
			j.firstPending = min(j.firstPending, i)
			expired = true
		default:
			left = true
		}
	}
	return expired, left
}

// UnstoredBindings counts the bindings that the store does not hold.
func (j *Job) UnstoredBindings() (n int) {
	for _, b := range j.Bound {
		if !b.Stored {
			n++
		}
	}
	return n
}

// DropUnstored forgets what an earlier leader was about to store.
func (j *Job) DropUnstored() {
	for i, b := range j.Bound {
		if !b.Stored {
			j.clearBinding(i)
		}
	}
	j.firstPending = 0
}

// Complete tells whether every task is done.
func (j *Job) Complete() bool { return j.Done.Len() == j.Tasks }

// PendingTasks is the number of tasks that could be bound: neither done nor bound, and none of
// a job that is blocked.
func (j *Job) PendingTasks() int {
	if j.Cancelled || j.Blocked {
		return 0
	}
	return j.Tasks - j.Done.Len() - len(j.Bound)
}

// isPending tells whether task i is neither done nor bound.
func (j *Job) isPending(i int) bool { return !j.Done.Has(i) && j.Bound[i] == nil }

// NextPending finds the first pending task at or after i, or -1.
func (j *Job) NextPending(i int) int {
	i = max(i, j.firstPending)
	fromFirst := i == j.firstPending
	for ; i < j.Tasks; i++ {
		if !j.isPending(i) {
			continue
		}
		if fromFirst {
			j.firstPending = i
		}
		return i
	}
	return -1
}
