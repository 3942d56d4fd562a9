package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// An announced cancellation blocks the start commands for the job's tasks, whether a command is
// already queued for delivery or arrives after the announcement, and even if the job is not in the
// replica.
func TestAnnouncedCancellationBlocksStarts(t *testing.T) {
	announced := Cancellation{Job: "req-free-1", Revision: 3}
	start := Start{Machine: "vm", Task: "req-free-1/0", Attempt: 1, Token: 1, Epoch: 1}
	for name, announcedFirst := range map[string]bool{"the announcement comes first": true, "the start comes first": false} {
		c := newSimCluster(t).cores["a"]
		c.handleCatalog(CatalogReceived{Types: newSimCluster(t).types})
		c.agents.tokens.acquired[1] = true
		w := newAgentSession(1, 1, "")
		c.agents.add("vm", w)
		m := c.addMachine("vm")
		m.Machine, m.Type, m.Node = "vm", "small", "a"
		c.machines.RecordContact(m, false, c.now.Steady)
		if announcedFirst {
			c.announcements.receive("b", []Cancellation{announced})
		}
		c.agents.forwardStart("b", start)
		if queued := len(w.queuedStarts) > 0; queued == announcedFirst {
			t.Errorf("%s: start queued: got %v", name, queued)
		}
		c.announcements.receive("b", []Cancellation{announced})
		c.agents.deliverTo("vm", w)
		if len(w.queuedStarts) > 0 || len(w.pendingStarts) > 0 {
			t.Errorf("%s: got %d queued and %d sent starts, want none", name, len(w.queuedStarts), len(w.pendingStarts))
		}
		for _, e := range c.effects {
			if d, is := e.(Deliver); is && len(d.CommandBatch.Commands) > 0 {
				t.Errorf("%s: delivered %+v, want no commands", name, d.CommandBatch.Commands)
			}
		}
	}
}

// The message that a job was accepted may arrive after the announcement of its cancellation.
func TestJobAcceptedAfterItsCancellationIsCancelled(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-free-1", 3, ""))
	c := newStartedCore()
	c.announcements.receive("b", []Cancellation{{Job: "req-free-1", Revision: 99}})
	c.onPut(cluster.kv[jobKey("req-free-1")])
	if j := c.jobs["req-free-1"]; j == nil || !j.Cancelled {
		t.Errorf("got job %+v, want it cancelled", j)
	}
}

// Malformed cancellations change nothing, and valid ones in the same message are applied.
func TestMalformedCancellationsAreIgnored(t *testing.T) {
	good := Cancellation{Job: "req-good-1", Revision: 7}
	for name, announced := range map[string][]Cancellation{
		"no id":             {{Job: "../x", Revision: 7}, good},
		"no revision":       {{Job: "req-free-1"}, good},
		"job that was done": {{Job: "req-done-1", Revision: 7}, good},
		"job never seen":    {{Job: "req-never-1", Revision: 7}, good},
		"duplicate":         {good, good},
	} {
		c := newSimCluster(t).cores["a"]
		c.rememberFinalState("req-done-1", protocol.JobState{ID: "req-done-1", State: protocol.Done})
		c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: PeerMessage{Cancellations: announced}})
		c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: PeerMessage{Acknowledged: []string{"req-else-1", good.Job}}})
		if !c.ended.isDone("req-done-1") || c.announcements.has("req-done-1") || c.cancelled("req-free-1") || c.cancelled("../x") {
			t.Errorf("%s: an invalid cancellation was applied", name)
		}
		if !c.cancelled(good.Job) {
			t.Errorf("%s: the valid cancellation in the same message was not applied", name)
		}
	}
	c := newSimCluster(t).cores["a"]
	c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: PeerMessage{From: "stranger", Cancellations: []Cancellation{good}}})
	if c.cancelled(good.Job) {
		t.Error("a cancellation from an unknown controller was applied")
	}
}

// The memory for announcements and the size of messages are bounded, however many cancellations
// there are.
func TestAnnouncementsAreBounded(t *testing.T) {
	c := newSimCluster(t).cores["a"]
	for i := range 2 * maxAnnouncements {
		c.announcements.apply(Cancellation{Job: fmt.Sprintf("req-many-%d", i), Revision: 9})
	}
	if len(c.announcements.byJob) > maxAnnouncements || len(c.announcements.order) > maxAnnouncements {
		t.Errorf("got %d announcements, want at most the limit", len(c.announcements.byJob))
	}
	c.peers.setConnected("b", true)
	c.effects = nil
	c.now.Steady = time.Minute
	c.announcements.resend()
	if m := c.effects[0].(SendPeer); len(m.Message.Cancellations) != cancellationsPerMessage {
		t.Errorf("got a message with %d cancellations, want the limit", len(m.Message.Cancellations))
	}
	if b := c.newHeartbeat(); len(b.Unacknowledged) != 2 {
		t.Errorf("got unacknowledged by %v, want both peers", b.Unacknowledged)
	}
}

// Without faults a cancellation takes one message to each other controller, and no machine is
// returned.
func TestAnnouncementSendsOneMessagePerPeer(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-1", 40, ""))
	cluster.waitUntilStarted("req-free-1", 40)
	messages, machines := 0, len(cluster.workers)
	cluster.onEffect = func(_ string, e Effect) {
		if m, is := e.(SendPeer); is && m.Message.Cancellations != nil {
			messages += len(m.Nodes)
		}
	}
	cluster.cancelJob("b", "req-free-1")
	begin := cluster.now
	if !cluster.run(5*time.Second, func() bool { return cluster.onMachines("req-free-1") == 0 }) {
		t.Error("tasks still run after 5 s")
	}
	t.Logf("tasks ended after %v", cluster.now-begin)
	cluster.run(2*time.Second, nil)
	if messages != len(cluster.names)-1 || len(cluster.workers) != machines {
		t.Errorf("got %d messages, want one per peer; of %d machines %d are left, want all", messages, machines, len(cluster.workers))
	}
}

// During a rolling upgrade some controllers support neither announcements nor acknowledgements.
// Users still get an answer in time, tasks end, and no machine is returned.
func TestCancellationDuringRollingUpgrade(t *testing.T) {
	for _, old := range [][]string{{"a"}, {"b", "c"}, {"a", "b", "c", "d"}} {
		t.Run(fmt.Sprint(old), func(t *testing.T) {
			t.Parallel()
			cluster := newIdleSimCluster(t, 20)
			cluster.previousVersion = old
			cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
			requireAccepted(t, cluster.submit("e", "req-free-1", 40, ""))
			cluster.waitUntilStarted("req-free-1", 40)
			returned := 0
			cluster.onEffect = func(_ string, e Effect) {
				if l, is := e.(Log); is && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) {
					returned++
				}
			}
			begin := cluster.now
			cluster.cancelJob("e", "req-free-1")
			if cluster.now-begin > 2*time.Second {
				t.Errorf("the user waited %v, want at most 2 s", cluster.now-begin)
			}
			cluster.run(cluster.cancelDeadline(), nil)
			if n := cluster.onMachines("req-free-1"); n > 0 || returned > 0 {
				t.Errorf("got %d running tasks and %d machine returns, want none", n, returned)
			}
		})
	}
}

// A controller must not confirm a cancellation that no other running controller knows of. Here the
// controller that stored the cancellation has crashed, and only controller b has learned of it,
// from its watch. Users get a confirmation from b only once another controller knows of the
// cancellation.
func TestCancellationKnownByWatchAloneIsNotConfirmed(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("b", cancelledJobID, 40, ""))
	cluster.waitUntilStarted(cancelledJobID, 40)
	cluster.disconnectLinks(everyLink)
	for _, n := range []string{"a", "c", "d", "e"} {
		cluster.watchedAt[n] = cluster.now + time.Hour // their watches deliver nothing
	}
	cluster.watchLag = time.Second
	cluster.send("d", Cancel{Req: 1 << 20, ID: cancelledJobID})
	if !cluster.run(time.Second, func() bool { return cluster.kv[cancelKey(cancelledJobID)].Version > 0 }) {
		t.Fatal("the cancellation was not stored")
	}
	cluster.crash("d")
	cluster.run(2*time.Second, nil)
	b := cluster.cores["b"]
	if !b.announcements.has(cancelledJobID) || b.peerReachability.knownToSecondController(b.announcements.find(cancelledJobID)) {
		t.Fatal("b is not the only controller that knows of the cancellation")
	}
	for _, command := range []func(req uint64) Command{
		func(req uint64) Command { return Status{Req: req, ID: cancelledJobID} },
		func(req uint64) Command { return Cancel{Req: req, ID: cancelledJobID} },
		func(req uint64) Command {
			return Submit{Req: req, Body: []byte(submission(cancelledJobID, "free", 40, ""))}
		},
	} {
		if a := cluster.request("b", command); a.Status != http.StatusServiceUnavailable {
			t.Errorf("got %v while no other controller knows of the cancellation", a.Body)
		}
	}
	cluster.restoreLinks()
	cluster.run(time.Second, nil)
	if s := requireJobState(t, cluster.status("b", cancelledJobID)); s.State != protocol.Cancelled {
		t.Errorf("got state %q once other controllers know, want cancelled", s.State)
	}
}

// Guards against users who wait for a report interval, or for ever in an outage of the store, although the
// links are back: the announcement of a controller that has just started may find no connection.
func TestUnconfirmedCancellationIsAnnouncedWhenLinkOpens(t *testing.T) {
	const started = "a"
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("b", cancelledJobID, 40, ""))
	cluster.waitUntilStarted(cancelledJobID, 40)
	cluster.crash(started)
	cluster.disconnectLinks(func(from, to string) bool { return from == started || to == started })
	cluster.boot(started)
	cluster.run(200*time.Millisecond, nil)
	cluster.delayWatches(time.Minute)
	cluster.send(started, Cancel{Req: 1 << 20, ID: cancelledJobID})
	cluster.run(500*time.Millisecond, nil)
	cluster.outage = true
	if cluster.answers[1<<20].Status != 0 {
		t.Fatal("the cancellation is answered while no other controller knows of it")
	}
	cluster.restoreLinks()
	cluster.run(300*time.Millisecond, nil)
	if got := cluster.answers[1<<20].Status; got != http.StatusOK {
		t.Errorf("got status %d after the links were restored, want 200", got)
	}
}
