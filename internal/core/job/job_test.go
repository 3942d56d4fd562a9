package job

import "testing"

// Tasks that are unbound again are found, also before those that were found last.
func TestNextPendingFindsTasksThatWereUnbound(t *testing.T) {
	j := New(Spec{ID: "req-1", Tasks: 4}, 64, 0)
	for i := range 4 {
		j.Bind(i, &Binding{})
	}
	if got := j.NextPending(0); got != -1 {
		t.Errorf("all are bound, got %d", got)
	}
	j.Unbind(2)
	j.Unbind(1)
	if a, b := j.NextPending(0), j.NextPending(2); a != 1 || b != 2 {
		t.Errorf("got %d and %d", a, b)
	}
}

// A claim is what a leader is about to store; late or stale ones must not stand for bindings.
func TestClaimsGiveWayToWhatIsStored(t *testing.T) {
	leader, replica := New(Spec{ID: "req-1", Tasks: 4}, 16, 0), New(Spec{ID: "req-1", Tasks: 4}, 16, 0)
	sync := func() {
		t.Helper()
		if err := replica.LoadHead(leader.Head()); err != nil {
			t.Fatal(err)
		}
	}
	sync()
	replica.Claim(0, &Binding{Machine: "m", Attempt: 1})
	replica.Claim(1, &Binding{Machine: "m", Attempt: 2})
	leader.Attempt = 2
	leader.Bind(0, &Binding{Machine: "m", Attempt: 1, Token: 7, Epoch: 3})
	sync()
	if b := replica.Bound[0]; b == nil || !b.Stored || b.Token != 7 || b.Epoch != 3 {
		t.Errorf("stored binding is %+v", b)
	}
	if replica.Bound[1] != nil {
		t.Error("a claim is left beside the stored state")
	}
	leader.Finish(0)
	sync()
	replica.Claim(0, &Binding{Machine: "m", Attempt: 9})
	replica.Claim(2, &Binding{Machine: "m", Attempt: 2})
	if len(replica.Bound) != 0 {
		t.Error("a late claim stands for a binding")
	}
	replica.Claim(3, &Binding{Machine: "m", Attempt: 3})
	replica.DropUnstored()
	if replica.PendingTasks() != 3 {
		t.Errorf("%d tasks are pending", replica.PendingTasks())
	}
}
