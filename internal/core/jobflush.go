package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// jobWriter stores the jobs of the teams that this node leads.
type jobWriter struct {
	*environment
	core   *Core
	budget writeBudget
}

// flushJobs stores what has changed of the jobs of the teams that this node leads, what users
// wait for first, as far as the write budget goes. The longer a job waits the more of its
// changes share one write.
func (w *jobWriter) flushJobs() {
	budget := &w.budget
	if w.now.Steady < budget.pausedUntil {
		return
	}
	budget.refill(w.now.Steady, w.jobWriteRate())
	due := w.dueJobs()
	if budget.exhausted() {
		return
	}
	slices.SortFunc(due, compareWrites)
	for n, j := range due {
		if budget.exhausted() {
			w.warnBudgetExhausted(due[n:])
			return
		}
		w.core.resolveConflict(j)
		w.flushJob(w.core.teamBy[j.Team], j)
	}
}

// compareWrites orders jobs by who is to be stored first.
func compareWrites(a, b *job.Job) int {
	return cmp.Or(
		cmp.Compare(writeRank(a), writeRank(b)),
		cmp.Compare(a.StoredAt, b.StoredAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// dueJobs lists the jobs whose changes are to be stored now, and counts the changes.
func (w *jobWriter) dueJobs() []*job.Job {
	var due []*job.Job
	var changes changesByRank
	for _, t := range w.core.teams {
		if !t.leading {
			continue
		}
		for _, j := range t.jobs {
			if !j.Dirty() || !w.flushDue(j) {
				continue
			}
			changes[writeRank(j)] += headChanges + j.DirtyChunks()
			if !j.InFlight {
				due = append(due, j)
			}
		}
	}
	w.budget.due = changes
	return due
}

// warnBudgetExhausted tells the operator now and then that starts wait for the store's write
// rate and not for capacity.
func (w *jobWriter) warnBudgetExhausted(waiting []*job.Job) {
	if waiting[0].Urgent && w.every(&w.budget.nextWarning, 10*w.reportInterval()) {
		w.log(Info, "store write budget exhausted", "pending_jobs", len(waiting), "changes_per_second", w.budget.rate)
	}
}

// jobWriteRate is this controller's share of the store's write rate for jobs.
func (w *jobWriter) jobWriteRate() float64 {
	own := &w.budget.due
	all := *own
	for node, pending := range w.core.peers.pendingWrites() {
		if w.core.reach.hasContact(node) {
			for rank, changes := range pending {
				all[rank] += changes
			}
		}
	}
	return own.share(all, w.core.limits.writeRate()*jobsShare, w.core.members.size())
}

// gatherTime is how long the finished tasks of a job gather before they are stored: the more
// jobs there are the longer.
func (w *jobWriter) gatherTime() time.Duration {
	return seconds(float64(len(w.core.jobs)) / (w.core.limits.writeRate() * jobsShare * endsShare))
}

// flushDue tells whether a job's changes are to be stored now. Finished tasks gather for a
// while: until they are stored their workers keep reporting them, so a crash loses nothing.
func (w *jobWriter) flushDue(j *job.Job) bool {
	if j.Complete() || j.Cancelled {
		return true
	}
	if j.Urgent {
		return w.now.Steady >= max(j.StoredAt+w.reportInterval()/30, j.ClaimedAt+w.core.claimWindow())
	}
	wait := max(w.reportInterval(), w.gatherTime())
	if w.budget.low() {
		wait *= 3
	}
	return w.now.Steady >= j.StoredAt+wait
}
