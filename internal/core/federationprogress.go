package core

import (
	"maps"
	"slices"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

const (
	// progressWriteShare is the fraction of the store's write rate for the progress of outgoing jobs.
	progressWriteShare = 1.0 / 20
	// progressWritesPerReport is the maximum number of progress writes in each report interval.
	progressWritesPerReport = 6
)

// progressWriter stores the progress of outgoing jobs that other sites report. Users are told only stored
// progress, so every controller tells them the same, also after a restart and while the link to the other
// site is down. It runs where the coordinator runs.
type progressWriter struct {
	adapter *federationAdapter
	// unstored holds the newest progress of the jobs whose stored progress differs from it.
	unstored map[string]progressRecord
	// inFlight is set while a write has no reply.
	inFlight bool
	// nextWrite is the time from which the next write may be sent.
	nextWrite time.Duration
	// lastJob is the last job of the last write. The next one begins behind it, so that no job has to
	// wait for others that change all the time.
	lastJob string
}

// newProgressWriter returns a writer that stores what controllers of earlier versions have only announced.
func newProgressWriter(f *federationAdapter) *progressWriter {
	w := &progressWriter{adapter: f, unstored: map[string]progressRecord{}}
	for id, progress := range ordered(f.core.handoffs.progress.announced) {
		if _, found := f.core.handoffs.storedProgress(id); !found {
			w.report(id, progress)
		}
	}
	return w
}

// report records the progress of an outgoing job to be stored. The number of done tasks never decreases, so
// progress with fewer of them than are known arrives late, and is dropped.
func (w *progressWriter) report(id string, progress Progress) {
	handoffs := &w.adapter.core.handoffs
	epoch := handoffs.Outgoing[id].Epoch
	known := handoffs.progressOf(id).Done
	if unstored := w.unstored[id]; unstored.Epoch == epoch {
		known = max(known, unstored.Done)
	}
	if progress.Done >= known {
		w.unstored[id] = progressRecord{Epoch: epoch, Progress: progress}
	}
}

// flush sends the next write, if there is something to store and the write rate allows it.
func (w *progressWriter) flush() {
	core := w.adapter.core
	if w.inFlight || !core.every(&w.nextWrite, core.reportInterval()/progressWritesPerReport) {
		return
	}
	txn := w.nextTxn()
	if len(txn.Then) == 0 {
		return
	}
	w.inFlight = true
	w.nextWrite = max(w.nextWrite, core.now.Steady+w.pauseAfter(len(txn.Then)))
	core.compareAndSwap(txn, false, func(r StoreReply) {
		if w.adapter.progress != w {
			return // the leadership was lost meanwhile, and the watch updates the replica
		}
		w.inFlight = false
		if r.Outcome == OutcomeApplied {
			w.adapter.applyToReplica(txn.Then, r.Revision)
		}
	})
}

// pauseAfter returns the pause that the write rate requires after a write with the given number of changes.
func (w *progressWriter) pauseAfter(changes int) time.Duration {
	rate := progressWriteShare * w.adapter.core.limits.writeRate()
	return seconds(float64(changes) / rate)
}

// nextTxn returns a transaction that stores the progress of some jobs and deletes that of jobs which are
// no longer handed off. Each change depends on the stored progress being unchanged, so that a write which
// is carried out late does not overwrite newer progress. One that is carried out after the end of the
// hand-off is deleted again.
func (w *progressWriter) nextTxn() protocol.Txn {
	core := w.adapter.core
	txn := protocol.Txn{If: []protocol.Condition{w.adapter.shard.leaderCondition()}}
	changes := w.dueChanges()
	for _, id := range w.inTurn(slices.Sorted(maps.Keys(changes))) {
		if len(txn.Then) == core.limits.maxChanges() {
			break
		}
		txn.If = append(txn.If, core.handoffs.progress.unchanged(id))
		txn.Then = append(txn.Then, changes[id])
		w.lastJob = id
	}
	return txn
}

// inTurn returns sorted job IDs in the order in which they are written: those behind the last job come
// first.
func (w *progressWriter) inTurn(ids []string) []string {
	next, found := slices.BinarySearch(ids, w.lastJob)
	if found {
		next++
	}
	return slices.Concat(ids[next:], ids[:next])
}

// dueChanges returns the changes of stored progress, by job, that are to be written, and forgets the
// reports that need no write any more.
func (w *progressWriter) dueChanges() map[string]protocol.Change {
	changes := map[string]protocol.Change{}
	for id, record := range w.unstored {
		if !w.needsWrite(id, record) {
			delete(w.unstored, id)
			continue
		}
		changes[id] = putJSON(progressKey(id), record)
	}
	for _, id := range w.adapter.core.handoffs.endedProgress() {
		changes[id] = protocol.Change{Delete: progressKey(id)}
	}
	return changes
}

// needsWrite reports whether the progress of a job differs from what is stored, and the job is still
// handed off under the same epoch.
func (w *progressWriter) needsWrite(id string, record progressRecord) bool {
	handoffs := &w.adapter.core.handoffs
	stored, _ := handoffs.storedProgress(id)
	return handoffs.isOutgoingWithEpoch(id, record.Epoch) && stored != record.Progress
}

// recordRemoteProgress records the progress of a job at another site, to be stored. It also announces
// the progress that is stored already: controllers of earlier versions answer no question about an
// accepted job without such an announcement.
func (f *federationAdapter) recordRemoteProgress(m federation.Message) {
	id, found := f.coordinator.OutgoingJob(m.From, m.Epoch)
	if !found {
		return
	}
	f.progress.report(id, Progress{m.Done, m.Running})
	announced := map[string]Progress{id: f.core.handoffs.progressOf(id)}
	f.core.broadcast(PeerMessage{Federation: &FederationMessage{Progress: announced}})
}
