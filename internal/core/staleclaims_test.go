package core

import (
	"testing"
	"time"
)

// newSimClusterWithUnstoredClaims returns a simulated cluster of five controllers without machines.
// The fleet leader holds claims from the leader of team red that use up the team's limit; none of
// them is stored.
func newSimClusterWithUnstoredClaims(t *testing.T) (cluster *simCluster, leader, fleetLeader string) {
	t.Helper()
	cluster = newIdleSimCluster(t, 10)
	cluster.allowRacingStarts = true
	leader, fleetLeader = cluster.leaderOf("red"), cluster.cores["a"].fleet.leader
	cluster.withoutStore[leader] = true // its lease stays alive
	requireAccepted(t, cluster.submit(fleetLeader, "req-red-1", 8, ""))
	if !cluster.run(reportIntervals(2), func() bool { return cluster.cores[fleetLeader].countUnstoredClaims() == 8 }) {
		t.Fatalf("fleet leader holds %d claims, want 8", cluster.cores[fleetLeader].countUnstoredClaims())
	}
	clear(cluster.workers) // so that no other leader can place the job
	cluster.maxMachines = 0
	if !cluster.run(2*time.Minute, func() bool { return len(cluster.cores[fleetLeader].machines.Names()) == 0 }) {
		t.Fatal("lost machines were not returned")
	}
	return cluster, leader, fleetLeader
}

// TestClaimsOfFormerLeaderAreDropped guards against jobs that stay pending next to free capacity:
// claims that a leader announced but could not store were kept by other controllers forever, so
// the team seemed to be at its limit and no machine was rented.
func TestClaimsOfFormerLeaderAreDropped(t *testing.T) {
	cluster, leader, fleetLeader := newSimClusterWithUnstoredClaims(t)
	cluster.expire(leader)
	if !cluster.run(30*time.Second, func() bool { l := cluster.leaderOf("red"); return l != "" && l != leader }) {
		t.Fatal("no other controller took over the team")
	}
	if cluster.leaderOf("red") == fleetLeader {
		t.Fatal("the fleet leader took over the team and rebuilt its jobs; want another leader")
	}
	cluster.run(reportIntervals(1), nil)
	if n := cluster.cores[fleetLeader].countUnstoredClaims(); n > 0 {
		t.Errorf("got %d claims of a former leader, want 0", n)
	}
	cluster.maxMachines = 20
	if !cluster.run(2*time.Minute, cluster.allDone("req-red-1")) {
		t.Errorf("job whose claims were dropped did not end: %d machines", len(cluster.workers))
	}
}

// TestUnrenewedClaimsExpire guards against the failure described at
// TestClaimsOfFormerLeaderAreDropped when the leader keeps leading the team but has dropped the
// bindings itself.
func TestUnrenewedClaimsExpire(t *testing.T) {
	cluster, leader, fleetLeader := newSimClusterWithUnstoredClaims(t)
	cluster.run(reportIntervals(claimLifetimeIntervals+2), nil)
	if n := cluster.cores[fleetLeader].countUnstoredClaims(); n != 8 {
		t.Fatalf("%d of 8 claims are held while their leader renews them", n)
	}
	c := cluster.cores[leader]
	c.unbindUnstored(c.jobs["req-red-1"])
	if !cluster.run(reportIntervals(claimLifetimeIntervals+2), func() bool { return cluster.cores[fleetLeader].countUnstoredClaims() == 0 }) {
		t.Errorf("got %d claims for dropped bindings, want 0", cluster.cores[fleetLeader].countUnstoredClaims())
	}
}

// TestNewerClaimReplacesOlderClaim guards against the failure described at
// TestClaimsOfFormerLeaderAreDropped when the leader claims other capacity for a task.
func TestNewerClaimReplacesOlderClaim(t *testing.T) {
	cluster, leader, fleetLeader := newSimClusterWithUnstoredClaims(t)
	c, j := cluster.cores[fleetLeader], cluster.cores[fleetLeader].jobs["req-red-1"]
	older := *j.Bound[0]
	c.handleClaim(leader, Claim{Machine: "vm-000099", Task: j.TaskID(0), Attempt: older.Attempt + 10})
	if got := j.Bound[0]; got.Machine != "vm-000099" {
		t.Errorf("task is claimed on %s, want vm-000099", got.Machine)
	}
	c.handleClaim(fleetLeader, Claim{Machine: older.Machine, Task: j.TaskID(0), Attempt: older.Attempt + 11})
	if got := j.Bound[0]; got.Machine != "vm-000099" {
		t.Error("accepted a claim from a controller that does not lead the team")
	}
	if usage := c.teamsByName["red"].usage(); usage.CPUs != 16 {
		t.Errorf("team usage is %v, want the resources of 8 tasks", usage)
	}
}
