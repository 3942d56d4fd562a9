package core

import (
	"testing"
	"time"
)

// worldWithUnstoredClaims has five controllers and no machines. The fleet leader holds claims
// from the leader of team red that use up the team's limit; none of them is stored.
func worldWithUnstoredClaims(t *testing.T) (w *world, leader, fleetLeader string) {
	t.Helper()
	w = idleWorld(t, 10)
	w.allowRacingStarts = true
	leader, fleetLeader = w.leaderOf("red"), w.cores["a"].fleet.leader
	w.withoutStore[leader] = true // its lease stays alive
	accepted(t, w.submit(fleetLeader, "req-red-1", 8, ""))
	if !w.run(reportIntervals(2), func() bool { return w.cores[fleetLeader].unstoredClaims() == 8 }) {
		t.Fatalf("fleet leader holds %d claims, want 8", w.cores[fleetLeader].unstoredClaims())
	}
	clear(w.workers) // so that no other leader can place the job
	w.maxMachines = 0
	if !w.run(2*time.Minute, func() bool { return len(w.cores[fleetLeader].machines.Names()) == 0 }) {
		t.Fatal("lost machines were not returned")
	}
	return w, leader, fleetLeader
}

// TestClaimsOfFormerLeaderAreDropped guards against jobs that stay pending next to free capacity:
// claims that a leader announced but could not store were kept by other controllers forever, so
// the team seemed to be at its limit and no machine was rented.
func TestClaimsOfFormerLeaderAreDropped(t *testing.T) {
	w, leader, fleetLeader := worldWithUnstoredClaims(t)
	w.expire(leader)
	if !w.run(30*time.Second, func() bool { l := w.leaderOf("red"); return l != "" && l != leader }) {
		t.Fatal("no other controller took over the team")
	}
	if w.leaderOf("red") == fleetLeader {
		t.Fatal("the fleet leader took over the team and rebuilt its jobs; want another leader")
	}
	w.run(reportIntervals(1), nil)
	if n := w.cores[fleetLeader].unstoredClaims(); n > 0 {
		t.Errorf("got %d claims of a former leader, want 0", n)
	}
	w.maxMachines = 20
	if !w.run(2*time.Minute, w.finished("req-red-1")) {
		t.Errorf("job whose claims are void did not finish: %d machines", len(w.workers))
	}
}

// TestUnrenewedClaimsExpire guards against the same failure when the leader keeps leading the
// team but has dropped the bindings itself.
func TestUnrenewedClaimsExpire(t *testing.T) {
	w, leader, fleetLeader := worldWithUnstoredClaims(t)
	w.run(reportIntervals(claimLifetimeIntervals+2), nil)
	if n := w.cores[fleetLeader].unstoredClaims(); n != 8 {
		t.Fatalf("%d of 8 claims are held while their leader renews them", n)
	}
	c := w.cores[leader]
	c.unbindUnstored(c.jobs["req-red-1"])
	if !w.run(reportIntervals(claimLifetimeIntervals+2), func() bool { return w.cores[fleetLeader].unstoredClaims() == 0 }) {
		t.Errorf("got %d claims for dropped bindings, want 0", w.cores[fleetLeader].unstoredClaims())
	}
}

// TestNewerClaimReplacesOlderClaim guards against the same failure when the leader claims other
// capacity for a task.
func TestNewerClaimReplacesOlderClaim(t *testing.T) {
	w, leader, fleetLeader := worldWithUnstoredClaims(t)
	c, j := w.cores[fleetLeader], w.cores[fleetLeader].jobs["req-red-1"]
	older := *j.Bound[0]
	c.handleClaim(leader, Claim{Machine: "vm-000099", Task: j.TaskID(0), Attempt: older.Attempt + 10})
	if got := j.Bound[0]; got.Machine != "vm-000099" {
		t.Errorf("task is claimed on %s, want vm-000099", got.Machine)
	}
	c.handleClaim(fleetLeader, Claim{Machine: older.Machine, Task: j.TaskID(0), Attempt: older.Attempt + 11})
	if got := j.Bound[0]; got.Machine != "vm-000099" {
		t.Error("accepted a claim from a controller that does not lead the team")
	}
	if usage := c.teamBy["red"].usage(); usage.CPUs != 16 {
		t.Errorf("team usage is %v, want the resources of 8 tasks", usage)
	}
}
