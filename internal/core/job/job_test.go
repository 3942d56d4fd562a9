package job

import "testing"

// Unbound tasks are pending again, including those before the task that NextPending returned last.
func TestNextPendingFindsUnboundTasks(t *testing.T) {
	j := New(Spec{ID: "req-1", Tasks: 4}, 64, 0)
	for i := range 4 {
		j.Bind(i, &Binding{})
	}
	if got := j.NextPending(0); got != -1 {
		t.Errorf("all tasks bound: got %d, want -1", got)
	}
	j.Unbind(2)
	j.Unbind(1)
	if a, b := j.NextPending(0), j.NextPending(2); a != 1 || b != 2 {
		t.Errorf("got %d and %d, want 1 and 2", a, b)
	}
}

// A claim announces a binding before it is stored. Loading newer stored state must replace or remove
// the claim, and a claim older than the stored state must be ignored.
func TestStoredStateSupersedesClaims(t *testing.T) {
	leader, replica := New(Spec{ID: "req-1", Tasks: 4}, 16, 0), New(Spec{ID: "req-1", Tasks: 4}, 16, 0)
	replicate := func() {
		t.Helper()
		if err := replica.LoadHead(leader.Head()); err != nil {
			t.Fatal(err)
		}
	}
	replicate()
	replica.Claim(0, &Binding{Machine: "m", Attempt: 1})
	replica.Claim(1, &Binding{Machine: "m", Attempt: 2})
	leader.Attempt = 2
	leader.Bind(0, &Binding{Machine: "m", Attempt: 1, Token: 7, Epoch: 3})
	replicate()
	if b := replica.Bound[0]; b == nil || !b.Stored || b.Token != 7 || b.Epoch != 3 {
		t.Errorf("got binding %+v, want it stored with token 7 and epoch 3", b)
	}
	if replica.Bound[1] != nil {
		t.Error("claim on task 1 remains after newer state was loaded")
	}
	leader.Finish(0)
	replicate()
	replica.Claim(0, &Binding{Machine: "m", Attempt: 9})
	replica.Claim(2, &Binding{Machine: "m", Attempt: 2})
	if len(replica.Bound) != 0 {
		t.Error("claim older than the stored state was accepted")
	}
	replica.Claim(3, &Binding{Machine: "m", Attempt: 3})
	replica.DropUnstored()
	if replica.PendingTasks() != 3 {
		t.Errorf("got %d pending tasks, want 3", replica.PendingTasks())
	}
}
