package core

import (
	"testing"
	"time"
)

// worldWithUnstoredClaims has five controllers without machines, one of which leads the fleet and holds claims of
// the leader of red on the whole limit of the team; none of them is stored.
func worldWithUnstoredClaims(t *testing.T) (w *world, leader, fleetLeader string) {
	t.Helper()
	w = idleWorld(t, 10)
	w.allowRacingStarts = true
	leader, fleetLeader = w.leaderOf("red"), w.cores["a"].fleet.leader
	w.withoutStore[leader] = true // its lease goes on
	accepted(t, w.submit(fleetLeader, "req-red-1", 8, ""))
	if !w.run(reportIntervals(2), func() bool { return w.cores[fleetLeader].unstoredClaims() == 8 }) {
		t.Fatalf("the leader of the fleet holds %d claims", w.cores[fleetLeader].unstoredClaims())
	}
	clear(w.workers) // and no other leader finds room for the job
	w.maxMachines = 0
	if !w.run(2*time.Minute, func() bool { return len(w.cores[fleetLeader].machines.Names()) == 0 }) {
		t.Fatal("machines that are gone are not returned")
	}
	return w, leader, fleetLeader
}

// Guards against jobs that wait beside room: claims that a leader announced and could not store were
// kept by the others for good, so that its team seemed to be at its limit and nothing was rented.
func TestClaimsOfASupersededLeaderAreVoid(t *testing.T) {
	w, leader, fleetLeader := worldWithUnstoredClaims(t)
	w.expire(leader)
	if !w.run(30*time.Second, func() bool { l := w.leaderOf("red"); return l != "" && l != leader }) {
		t.Fatal("the team has no other leader")
	}
	if w.leaderOf("red") == fleetLeader {
		t.Fatal("the leader of the fleet leads the team, and starts over with its jobs")
	}
	w.run(reportIntervals(1), nil)
	if n := w.cores[fleetLeader].unstoredClaims(); n > 0 {
		t.Errorf("%d claims of a superseded leader are left", n)
	}
	w.maxMachines = 20
	if !w.run(2*time.Minute, w.finished("req-red-1")) {
		t.Errorf("nothing is rented for a job whose claims are void: %d machines", len(w.workers))
	}
}

// Guards against the same where the leader goes on and has dropped the bindings itself.
func TestClaimsThatAreNotAnnouncedAgainExpire(t *testing.T) {
	w, leader, fleetLeader := worldWithUnstoredClaims(t)
	w.run(reportIntervals(claimLifetime+2), nil)
	if n := w.cores[fleetLeader].unstoredClaims(); n != 8 {
		t.Fatalf("%d of 8 claims are held while their leader announces them", n)
	}
	c := w.cores[leader]
	c.unbindUnstored(c.jobs["req-red-1"])
	if !w.run(reportIntervals(claimLifetime+2), func() bool { return w.cores[fleetLeader].unstoredClaims() == 0 }) {
		t.Errorf("%d claims on bindings that were dropped are left", w.cores[fleetLeader].unstoredClaims())
	}
}

// Guards against the same where the leader claims other room for the task: the newer claim holds.
func TestNewerClaimReplacesTheOlderOne(t *testing.T) {
	w, leader, fleetLeader := worldWithUnstoredClaims(t)
	c, j := w.cores[fleetLeader], w.cores[fleetLeader].jobs["req-red-1"]
	older := *j.Bound[0]
	c.handleClaim(leader, Claim{Machine: "vm-000099", Task: j.TaskID(0), Attempt: older.Attempt + 10})
	if got := j.Bound[0]; got.Machine != "vm-000099" {
		t.Errorf("the task is claimed on %s", got.Machine)
	}
	c.handleClaim(fleetLeader, Claim{Machine: older.Machine, Task: j.TaskID(0), Attempt: older.Attempt + 11})
	if got := j.Bound[0]; got.Machine != "vm-000099" {
		t.Error("a claim of a controller that does not lead the team is taken")
	}
	if usage := c.teamBy["red"].usage(); usage.CPUs != 16 {
		t.Errorf("the team uses %v, want the room of 8 tasks", usage)
	}
}
