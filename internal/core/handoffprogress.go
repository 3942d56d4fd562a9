package core

import (
	"iter"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// Progress counts the done and the running tasks of a job at another site.
type Progress struct {
	Done    int `json:"d,omitempty"`
	Running int `json:"r,omitempty"`
}

// progressRecord is the stored progress of an outgoing job. It is valid only for the hand-off epoch under
// which it was reported.
type progressRecord struct {
	Epoch federation.Epoch `json:"e"`
	Progress
}

// progressReplica is the replica of the progress of outgoing jobs at the sites that run them. It is kept
// apart from the hand-off records: it is only displayed, and no decision depends on it.
type progressReplica struct {
	// records and versions hold the stored progress of each job and the version of its key.
	records  map[string]progressRecord
	versions map[string]uint64
	// announced holds the progress that other controllers have announced. It counts only for jobs
	// without stored progress: controllers of earlier versions announce progress without storing it.
	announced map[string]Progress
}

func newProgressReplica() progressReplica {
	return progressReplica{
		records:   map[string]progressRecord{},
		versions:  map[string]uint64{},
		announced: map[string]Progress{},
	}
}

// keys iterates over the stored keys of the replica.
func (r *progressReplica) keys() iter.Seq[string] {
	return func(yield func(string) bool) {
		for id := range r.versions {
			if !yield(progressKey(id)) {
				return
			}
		}
	}
}

// apply applies the stored progress of a job, unless the replica reflects a later version of it.
func (r *progressReplica) apply(id string, item protocol.KeyValue) error {
	if r.versions[id] >= item.Version {
		return nil
	}
	var record progressRecord
	err := json.Unmarshal(item.Value, &record)
	r.records[id], r.versions[id] = record, item.Version
	return err
}

// applyDeletion applies the deletion of the stored progress of a job at a revision.
func (r *progressReplica) applyDeletion(id string, revision uint64) {
	if r.versions[id] > revision {
		return
	}
	delete(r.records, id)
	delete(r.versions, id)
}

// unchanged returns the condition that the stored progress of a job has the version that the replica
// shows.
func (r *progressReplica) unchanged(id string) protocol.Condition {
	return protocol.Condition{Key: progressKey(id), Version: r.versions[id]}
}

// storedProgress returns the stored progress of an outgoing job under its current hand-off epoch.
func (r *handoffReplica) storedProgress(id string) (progress Progress, found bool) {
	record, found := r.progress.records[id]
	if !found || record.Epoch != r.Outgoing[id].Epoch {
		return Progress{}, false
	}
	return record.Progress, true
}

// announceProgress records the progress of a job that another controller has announced. The number of done
// tasks never decreases.
func (r *handoffReplica) announceProgress(id string, progress Progress) {
	if _, outgoing := r.Outgoing[id]; outgoing {
		progress.Done = max(progress.Done, r.progress.announced[id].Done)
		r.progress.announced[id] = progress
	}
}

// progressOf returns the last known progress of an outgoing job. It is zero until the other site has
// reported any.
func (r *handoffReplica) progressOf(id string) Progress {
	if progress, found := r.storedProgress(id); found {
		return progress
	}
	return r.progress.announced[id]
}

// acceptedProgress returns the last known progress of all jobs that other sites have accepted.
func (r *handoffReplica) acceptedProgress() map[string]Progress {
	progress := map[string]Progress{}
	for id, outgoing := range r.Outgoing {
		if outgoing.Accepted {
			progress[id] = r.progressOf(id)
		}
	}
	return progress
}

// endedProgress lists, in no order, the jobs with stored progress that are no longer handed off.
func (r *handoffReplica) endedProgress() (ids []string) {
	for id := range r.progress.versions {
		if _, outgoing := r.Outgoing[id]; !outgoing {
			ids = append(ids, id)
		}
	}
	return ids
}
