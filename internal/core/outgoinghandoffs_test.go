package core

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// An outgoing job is never bound at this site, every controller shows its progress, and it ends
// once, as the other site reports, even if every controller of this site restarts meanwhile.
func TestOutgoingJobEndsAsRemoteSiteReports(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	remote.submitRemote("req-red-1")
	if !remote.serveUntil(time.Minute, func() bool {
		return cmp.Equal(cluster.status("b", "req-red-1").Body, protocol.JobState{ID: "req-red-1", State: protocol.Running, Done: 1, Running: 2})
	}) {
		t.Fatal("progress of the outgoing job is not shown")
	}
	for _, n := range nodeNames {
		cluster.crash(n)
		cluster.expire(n)
		cluster.boot(n)
		remote.serveUntil(10*time.Second, func() bool {
			for _, n := range nodeNames {
				if s, ok := cluster.status(n, "req-red-1").Body.(protocol.JobState); ok && (s.Done != 1 || s.State != protocol.Running) {
					t.Fatalf("%s: job state is %+v, which is older than the reported progress", n, s)
				}
			}
			return false
		})
	}
	cluster.waitUntilReady()
	remote.finalState = func() string { return protocol.Done }
	if !remote.serveUntil(time.Minute, cluster.allDone("req-red-1")) {
		t.Fatal("the end of the job is not stored")
	}
	remote.serveFor(5 * time.Second)
	for _, n := range nodeNames {
		if s := cluster.status(n, "req-red-1").Body.(protocol.JobState); s.State != protocol.Done || s.Done != 3 {
			t.Errorf("%s: got job state %+v, want done with 3 tasks", n, s)
		}
	}
	if len(cluster.starts) > 0 || cluster.kv[jobKey("req-red-1")].Version > 0 || cluster.kv[outgoingKey("req-red-1")].Version > 0 {
		t.Errorf("tasks were started at this site (%v) or records of the job are left", cluster.starts)
	}
}

// The cancellation of an outgoing job is confirmed only once the other site has reported the job's
// end or has refused the job.
func TestOutgoingJobCancellationIsConfirmedByRemoteSite(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		cluster, remote := newFederatedSimCluster(t)
		if !accepted {
			remote.decide = func(federation.Message) federation.Message { return federation.Message{} } // not a valid answer
		}
		remote.submitRemote("req-red-1")
		if !remote.serveUntil(time.Minute, func() bool { return len(remote.answers) > 0 && cluster.cores["a"].isOutgoing("req-red-1") }) {
			t.Fatal("job is not handed off")
		}
		delete(remote.answers, 0)
		if !accepted {
			clear(remote.answers)
		}
		if a := cluster.cancelJob("c", "req-red-1"); a.Status != http.StatusServiceUnavailable || a.RetryAfter < 1 {
			t.Errorf("accepted %v: status of the cancellation: got %d, want 503 with Retry-After", accepted, a.Status)
		}
		remote.finalState = func() string { return protocol.Cancelled }
		if !remote.serveUntil(time.Minute, func() bool { return cluster.cancelJob("b", "req-red-1").Status == http.StatusOK }) {
			t.Fatalf("accepted %v: cancellation is never confirmed", accepted)
		}
		remote.serveFor(5 * time.Second)
		if s := cluster.status("a", "req-red-1").Body.(protocol.JobState); s.State != protocol.Cancelled || cluster.kv[jobKey("req-red-1")].Version > 0 {
			t.Errorf("accepted %v: got job state %+v, want cancelled and no head", accepted, s)
		}
	}
}

// A job that the other site refuses runs at this site.
func TestRefusedJobRunsLocally(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	for _, n := range nodeNames {
		cluster.federationConfigs[n].Classes[0].OfferAfterS = 0
	}
	remote.decide = func(federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Reason: "not today"}
	}
	if a := cluster.submit("a", "req-red-1", 3, ""); a.Status != http.StatusCreated {
		t.Fatalf("submission got %d", a.Status)
	}
	if !remote.serveUntil(2*time.Minute, cluster.allDone("req-red-1")) {
		t.Fatal("refused job does not end at this site")
	}
	cluster.checkStartedOnce()
}

// The scheduler does not place the tasks of an outgoing job.
func TestOutgoingJobIsNotPlaced(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	cluster.change(protocol.Change{Put: outgoingKey("req-red-1"), Value: mustjson.Marshal(federation.Outgoing{Epoch: 1, To: "far"})})
	remote.serveFor(time.Second)
	if a := cluster.submit("a", "req-red-1", 3, ""); a.Status != http.StatusCreated {
		t.Fatalf("submission got %d", a.Status)
	}
	remote.serveFor(15 * time.Second)
	for n, c := range cluster.cores {
		if j := c.jobs["req-red-1"]; j.Attempt > 0 || c.startAllowance(j) > 0 {
			t.Errorf("%s tried to bind the outgoing job", n)
		}
	}
}

// Bindings, hand-offs and cancellations of a job race. The store decides, because the controllers
// have not seen the earlier write yet.
func TestHandOffsRaceWithBindingsAndCancellations(t *testing.T) {
	outgoing := federation.Outgoing{Epoch: 1, To: "far", Accepted: true}
	for name, c := range map[string]struct {
		extraFields string
		before      func(cluster *simCluster)
		holds       func(cluster *simCluster) bool
	}{
		"a binding after a hand-off": {before: func(cluster *simCluster) { cluster.putWithoutEvent(outgoingKey("req-red-1"), outgoing) },
			holds: func(cluster *simCluster) bool { return len(cluster.starts) == 0 }},
		"a cancellation after a hand-off": {before: func(cluster *simCluster) { cluster.putWithoutEvent(outgoingKey("req-red-1"), outgoing) },
			holds: func(cluster *simCluster) bool {
				return cluster.cancelJob("b", "req-red-1").Status == http.StatusServiceUnavailable && cluster.kv[keyState+"req-red-1"].Version == 0
			}},
		"a hand-off after a binding": {extraFields: remoteZoneOnly, before: func(cluster *simCluster) { cluster.putWithoutEvent(jobKey("req-red-1"), "bound meanwhile") },
			holds: func(cluster *simCluster) bool { return cluster.kv[outgoingKey("req-red-1")].Version == 0 }},
		"a hand-off after a cancellation": {extraFields: remoteZoneOnly, before: func(cluster *simCluster) { cluster.putWithoutEvent(cancelKey("req-red-1"), struct{}{}) },
			holds: func(cluster *simCluster) bool { return cluster.kv[outgoingKey("req-red-1")].Version == 0 }},
		"a hand-off after a drain by another": {extraFields: remoteZoneOnly, before: func(cluster *simCluster) {
			cluster.change(protocol.Change{Put: drainedKey("far"), Value: mustjson.Marshal(struct{}{})})
		}, holds: func(cluster *simCluster) bool { return cluster.kv[outgoingKey("req-red-1")].Version == 0 }},
	} {
		cluster, remote := newFederatedSimCluster(t)
		remote.serveFor(10 * time.Second) // the sites compare their records first
		cluster.nextReq++
		cluster.send("a", Submit{Req: cluster.nextReq, Body: []byte(submission("req-red-1", "red", 3, c.extraFields))})
		if !cluster.run(time.Second, func() bool { _, stored := cluster.kv[jobKey("req-red-1")]; return stored }) {
			t.Fatalf("%s: job is not accepted", name)
		}
		c.before(cluster)
		remote.serveFor(15 * time.Second)
		if !c.holds(cluster) {
			t.Errorf("%s: starts %v, versions of the hand-off record %d and of the final state %d", name, cluster.starts, cluster.kv[outgoingKey("req-red-1")].Version, cluster.kv[keyState+"req-red-1"].Version)
		}
	}
}
