package core

import (
	"testing"
	"time"

	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// newSimClusterWithMissedHandover returns a simulated cluster whose team red has a running job. The
// store shows another leader of the team than the former one knows, because its watch is blocked.
func newSimClusterWithMissedHandover(t *testing.T) (cluster *simCluster, former, successor string) {
	t.Helper()
	cluster = newIdleSimCluster(t, 20)
	cluster.taskTime = 5 * time.Minute
	former = cluster.leaderOf("red")
	for _, node := range cluster.names {
		if node != former {
			successor = node
		}
	}
	requireAccepted(t, cluster.submit("a", "req-red-1", 7, ""))
	cluster.waitUntilStarted("req-red-1", 7)
	cluster.run(reportIntervals(1), nil)
	cluster.blockedWatcher = former
	cluster.storeLeader(keyLeader+"red", successor)
	return cluster, former, successor
}

// storeLeader stores the leader of a shard under its key, as a controller does that hands the shard over.
func (cluster *simCluster) storeLeader(key, node string) {
	member := cluster.cores[node].members
	leader := leaderRecord{Node: node, Incarnation: member.incarnation}
	cluster.change(protocol.Change{Put: key, Value: mustjson.Marshal(leader), Lease: member.lease})
}

// Guards against answers from a replica without the jobs of a team, such as "pending" for a job that was
// called cancelled before: a snapshot that showed another leader did not replace the jobs of the former
// one, which were then dropped.
func TestSnapshotThatEndsLeadershipReplacesJobs(t *testing.T) {
	cluster, former, successor := newSimClusterWithMissedHandover(t)
	reloads := 0
	cluster.onEffect = func(node string, e Effect) {
		if _, isReload := e.(StoreReload); isReload && node == former {
			reloads++
		}
	}
	cluster.sendSnapshotWhenReachable(former)
	cluster.step(former)
	c := cluster.cores[former]
	if red := c.teamsByName["red"]; red.leading || red.leader != successor {
		t.Fatalf("got leader %q, want %s", red.leader, successor)
	}
	if j := c.jobs["req-red-1"]; j == nil || len(j.Bound) != 7 {
		t.Errorf("got job %+v, want the stored one with 7 bindings", j)
	}
	if reloads > 0 {
		t.Errorf("%d reloads although the snapshot is complete, want none", reloads)
	}
}

// Guards against a leader that does not know all bindings of its team, and so passes its limit: the record
// that makes it the leader arrived while the jobs of the team, which it had led before, were missing.
func TestLeaderRecordHasNoEffectWhileJobsAreMissing(t *testing.T) {
	cluster, former, _ := newSimClusterWithMissedHandover(t)
	cluster.storeLeader(keyLeader+"red", former)
	c := cluster.cores[former]
	red := c.teamsByName["red"]
	c.handle(LeaseExpired{}) // drops the jobs
	c.handle(StoreChanged{Revision: cluster.revision, Events: cluster.events[cluster.seen[former]:]})
	if red.leading {
		t.Errorf("leads the team with %d jobs while the stored state is read again", len(red.jobs))
	}
	c.handle(cluster.snapshot())
	if j := c.jobs["req-red-1"]; !red.leading || j == nil || len(j.Bound) != 7 {
		t.Errorf("got leading %v and job %+v, want the leader with the stored job", red.leading, j)
	}
}

// Guards against rental intents of a former fleet leader that the next one drops, and so never retries or
// deletes: it became the leader amid a snapshot, and took intents further on for deleted ones.
func TestSnapshotMakesLeaderOnceItIsApplied(t *testing.T) {
	cluster := newIdleSimCluster(t, 4)
	former := cluster.cores["a"].fleet.leader
	successor := cluster.names[0]
	if successor == former {
		successor = cluster.names[1]
	}
	cluster.blockedWatcher = successor
	intent := rentalIntent{Rental: protocol.Rental{Request: "r-1", Type: "small", Zone: "z1", Count: 1}}
	cluster.change(putJSON(keyRentalIntent+"r-1", intent))
	cluster.storeLeader(keyFleet, successor)
	c := cluster.cores[successor]
	c.handle(cluster.snapshot())
	if !c.fleet.leading || c.intents["r-1"] == nil {
		t.Errorf("got leading %v and intents %v, want the leader with the stored intent", c.fleet.leading, c.intents)
	}
}
