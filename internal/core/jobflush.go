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

// flushJobs writes the changed jobs of the teams that this node leads, as far as the write budget
// allows, starting with the changes that users wait for. The longer a job waits, the more of its
// changes are batched into one write.
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
	slices.SortFunc(due, compareWriteOrder)
	for n, j := range due {
		if budget.exhausted() {
			w.warnBudgetExhausted(due[n:])
			return
		}
		w.core.dropConflictingClaims(j)
		w.flushJob(w.core.teamsByName[j.Team], j)
		w.progress.Advance()
	}
}

// compareWriteOrder orders jobs by write rank, then by the time of their last write, then by ID.
func compareWriteOrder(a, b *job.Job) int {
	return cmp.Or(
		cmp.Compare(writeRank(a), writeRank(b)),
		cmp.Compare(a.StoredAt, b.StoredAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// dueJobs returns the jobs whose changes are due and that have no write in flight, and counts all
// due changes by rank.
func (w *jobWriter) dueJobs() []*job.Job {
	var due []*job.Job
	var changes changesByRank
	for _, t := range w.core.teams {
		if !t.leading {
			continue
		}
		for _, j := range t.jobs {
			if !j.Dirty() || !w.isFlushDue(j) {
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

// warnBudgetExhausted logs, at a limited rate, that urgent changes are delayed by the store's write
// rate and not by a lack of capacity. waiting lists the jobs that are still to be written, the most
// urgent first.
func (w *jobWriter) warnBudgetExhausted(waiting []*job.Job) {
	if waiting[0].Urgent && w.every(&w.budget.nextWarning, 10*w.reportInterval()) {
		w.log(Info, "store write budget exhausted", "pending_jobs", len(waiting), "changes_per_second", w.budget.rate)
	}
}

// jobWriteRate returns this controller's share of the store's write rate for jobs, in changes per
// second.
func (w *jobWriter) jobWriteRate() float64 {
	own := &w.budget.due
	all := *own
	for node, pending := range w.core.peers.pendingWrites() {
		if w.core.peerReachability.hasContact(node) {
			for rank, changes := range pending {
				all[rank] += changes
			}
		}
	}
	return own.share(all, w.core.limits.writeRate()*jobWriteShare, w.core.members.size())
}

// exitBatchInterval returns for how long the exits of a job's tasks are batched before they are
// stored. It grows with the number of jobs.
func (w *jobWriter) exitBatchInterval() time.Duration {
	return seconds(float64(len(w.core.jobs)) / (w.core.limits.writeRate() * jobWriteShare * finishedTaskShare))
}

// isFlushDue reports whether a job's changes are due to be stored. Exits of tasks are batched: the
// workers keep reporting them until they are stored, so a crash loses nothing.
func (w *jobWriter) isFlushDue(j *job.Job) bool {
	if j.Complete() || j.Cancelled {
		return true
	}
	if j.Urgent {
		return w.now.Steady >= max(j.StoredAt+w.reportInterval()/30, j.ClaimedAt+w.core.claimSettleTime())
	}
	wait := max(w.reportInterval(), w.exitBatchInterval())
	if w.budget.onlyReserveLeft() {
		wait *= 3
	}
	return w.now.Steady >= j.StoredAt+wait
}
