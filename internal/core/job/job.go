package job

import (
	"strconv"
	"strings"
	"time"
)

// Binding ties a task to a machine before any start is sent. It ends only on
// proof that the task is gone.
type Binding struct {
	Machine string
	Attempt uint64
	// Token is the only fencing token under which the start may be sent, and
	// Session the only session of the worker that may carry it out. A report
	// under a newer one in which the task is absent proves that it is gone.
	Token, Epoch uint64

	// The rest is not stored.

	// Stored is set once the binding is in the store; before that no start
	// may be sent.
	Stored bool
	// State is what the worker last reported, empty before the first report.
	State string
	// Since is when the binding was made or taken over, StopSent when a stop
	// was asked for.
	Since, StopSent, FencedAt time.Duration
	Stopping                  bool
	// Sent is set once the start was handed to the machine's controller; no
	// start is ever sent twice.
	Sent bool
}

// Job is one accepted job that is not final.
type Job struct {
	Spec
	// Version is the revision of the job's head key, 0 before it is known.
	Version   uint64
	Nonce     string
	Cancelled bool
	Done      Set
	Bound     map[int]*Binding
	// Attempt is the highest attempt number in use, StoredAttempt the highest that
	// the store is known to hold. No higher one can have been started by a home
	// that knows no more.
	Attempt, StoredAttempt uint64
	layout
	waiting

	// InFlight is set while a transaction on the job is not answered.
	InFlight bool
	// Suspected is set while the job is taken to have been submitted with a
	// mistake, Proven once a task of it has succeeded. FailedOn names the
	// machines that it has failed on since, Probes counts its tries, NotBefore
	// delays the next start.
	Suspected, Proven bool
	FailedOn          []string
	Probes            int
	NotBefore         time.Duration
	// Started is set once a task was seen running.
	Started bool
	// Urgent asks for the job to be stored without delay; StoredAt is when it
	// last was, CancelledAt when its cancellation became known.
	Urgent                bool
	StoredAt, CancelledAt time.Duration
	// CancelRequestedAt is the time of day of the cancellation in milliseconds, 0 if
	// it is not known.
	CancelRequestedAt int64
	// ClaimedAt is when the newest bindings were made.
	ClaimedAt time.Duration
	// PendingSince is when the job last got room or was accepted.
	PendingSince time.Duration
	// PreemptedAt is when room was last made for it.
	PreemptedAt time.Duration
	// UnstoredExits lists the attempts that have exited since the job was last stored;
	// their workers forget them once the store holds what became of them.
	UnstoredExits []Exit
	// Running is how many tasks ran when they were counted, at CountedAt.
	Running   int
	CountedAt time.Duration
	low       int
	ledger    *Ledger
}

// Exit is an attempt of task Index that has ended on a machine.
type Exit struct {
	Machine string
	Index   int
	Attempt uint64
}

// NewWithChunkSize makes a job of a Spec whose head will tell its chunk size.
func NewWithChunkSize(s Spec, chunkSize int, now time.Duration) *Job {
	j := New(s, chunkSize, now)
	j.sized = true
	return j
}

// New makes a job of a Spec.
func New(s Spec, chunkSize int, now time.Duration) *Job {
	return &Job{Spec: s, Bound: map[int]*Binding{}, layout: newLayout(chunkSize), PendingSince: now}
}

func (j *Job) finish(i int) {
	j.Done.Add(i)
	j.clear(i)
}

// Bind ties task i to a machine under a new attempt.
func (j *Job) Bind(i int, b *Binding) {
	j.set(i, b)
	j.MarkDirty(i)
}

// Claim notes a binding that the job's home is about to store. One that the
// stored state is already past is ignored. Whatever the home stores next
// replaces it.
func (j *Job) Claim(i int, b *Binding) {
	if i < j.Tasks && !j.Done.Has(i) && j.Bound[i] == nil && b.Attempt > j.Attempt {
		j.set(i, b)
	}
}

// DropUnstored forgets what an earlier home was about to store.
func (j *Job) DropUnstored() {
	for i, b := range j.Bound {
		if !b.Stored {
			j.clear(i)
		}
	}
	j.low = 0
}

// Unbind ends the binding of task i.
func (j *Job) Unbind(i int) {
	j.clear(i)
	j.low = min(j.low, i)
	j.MarkDirty(i)
}

// Finish records that task i is done.
func (j *Job) Finish(i int) {
	j.finish(i)
	j.MarkDirty(i)
}

// ClearSuspicion clears the job of the suspicion of a mistake.
func (j *Job) ClearSuspicion() {
	j.Proven, j.Suspected, j.FailedOn, j.Probes, j.NotBefore = true, false, nil, 0, 0
}

// PendingTasks is the number of tasks that could be bound: neither done nor bound, and none of
// a job that awaits others.
func (j *Job) PendingTasks() int {
	if j.Cancelled || j.Blocked {
		return 0
	}
	return j.Tasks - j.Done.Len() - len(j.Bound)
}

// NextPending finds the first waiting task at or after i, or -1.
func (j *Job) NextPending(i int) int {
	i = max(i, j.low)
	for first := i == j.low; i < j.Tasks; i++ {
		if !j.Done.Has(i) && j.Bound[i] == nil {
			if first {
				j.low = i
			}
			return i
		}
	}
	return -1
}

// Complete tells whether every task is done.
func (j *Job) Complete() bool { return j.Done.Len() == j.Tasks }

// ParseTaskID takes a task id apart.
func ParseTaskID(id string) (jobID string, index int, ok bool) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(id[cut+1:])
	return id[:cut], n, err == nil && n >= 0 && n < MaxTasks && ValidID(id[:cut])
}
