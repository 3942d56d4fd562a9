package emulator

import (
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// An array that another site had handed off never ran on the emulated workers: its submission could only be
// rebuilt from a head that held a single task.
func TestStoredJobOfSeveralTasksIsFound(t *testing.T) {
	const id, tasks = "req-gw-east-1", 40
	head := job.New(job.Spec{ID: id, Tasks: tasks}, tasks, 0)
	for i := range tasks {
		head.Done.Add(i)
	}
	state, err := NewStateService(Default().State, "")
	if err != nil {
		t.Fatal(err)
	}
	state.kv.Apply(protocol.Txn{Then: []protocol.Change{{Put: "j/a/" + id, Value: head.Head()}}})
	site := &Site{State: state}
	if stored := site.storedJob(id); stored == nil || *stored.Tasks != tasks || *stored.ID != id {
		t.Errorf("got %+v, want the job with %d tasks", stored, tasks)
	}
	if stored := site.storedJob("req-gw-east-2"); stored != nil {
		t.Errorf("got %+v for a job that is not stored, want nil", stored)
	}
}
