package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// An announced cancellation blocks the starts of the job's tasks, whether a start is already queued
// for delivery or arrives after the announcement, and even if the job is not in the replica.
func TestAnnouncedCancellationBlocksStarts(t *testing.T) {
	announced := Cancellation{Job: "req-free-1", Revision: 3}
	start := Start{Machine: "vm", Task: "req-free-1/0", Attempt: 1, Token: 1, Epoch: 1}
	for name, announcedFirst := range map[string]bool{"the announcement comes first": true, "the start comes first": false} {
		c := newWorld(t).cores["a"]
		c.handleCatalog(CatalogReceived{Types: newWorld(t).types})
		c.agents.tokens.acquired[1] = true
		w := newAgentSession(1, 1, "")
		c.agents.add("vm", w)
		m := c.addMachine("vm")
		m.Machine, m.Type, m.Node = "vm", "small", "a"
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
			if d, is := e.(Deliver); is && len(d.Orders.Commands) > 0 {
				t.Errorf("%s: delivered %+v, want no commands", name, d.Orders.Commands)
			}
		}
	}
}

// The message that a job was accepted may arrive after the announcement of its cancellation.
func TestJobAcceptedAfterItsCancellationIsCancelled(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-free-1", 3, ""))
	c := New(testSettings("a"), w.cores["a"].policy, "a")
	c.announcements.receive("b", []Cancellation{{Job: "req-free-1", Revision: 99}})
	c.onPut(w.kv[jobKey("req-free-1")])
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
		c := newWorld(t).cores["a"]
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
	c := newWorld(t).cores["a"]
	c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: PeerMessage{From: "stranger", Cancellations: []Cancellation{good}}})
	if c.cancelled(good.Job) {
		t.Error("a cancellation from an unknown node was applied")
	}
}

// The memory for announcements and the size of messages are bounded, however many cancellations
// there are.
func TestAnnouncementsAreBounded(t *testing.T) {
	c := newWorld(t).cores["a"]
	for i := range 2 * maxAnnouncements {
		c.announcements.note(Cancellation{Job: fmt.Sprintf("req-many-%d", i), Revision: 9})
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

// Without faults a cancellation takes one message to each controller, and no machine is returned.
func TestAnnouncementSendsOneMessagePerPeer(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", "req-free-1", 40, ""))
	w.started("req-free-1", 40)
	messages, machines := 0, len(w.workers)
	w.onEffect = func(_ string, e Effect) {
		if m, is := e.(SendPeer); is && m.Message.Cancellations != nil {
			messages += len(m.Nodes)
		}
	}
	w.cancelJob("b", "req-free-1")
	begin := w.now
	if !w.run(5*time.Second, func() bool { return w.onMachines("req-free-1") == 0 }) {
		t.Error("tasks still run after 5 s")
	}
	t.Logf("tasks ended after %v", w.now-begin)
	w.run(2*time.Second, nil)
	if messages != len(w.names)-1 || len(w.workers) != machines {
		t.Errorf("got %d messages, want one per peer; of %d machines %d are left, want all", messages, machines, len(w.workers))
	}
}

// During a rolling upgrade some controllers support neither announcements nor acknowledgements.
// Users still get an answer in time, tasks end, and no machine is returned.
func TestCancellationDuringRollingUpgrade(t *testing.T) {
	for _, old := range [][]string{{"a"}, {"b", "c"}, {"a", "b", "c", "d"}} {
		t.Run(fmt.Sprint(old), func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.previousRelease = old
			w.allowRacingStarts, w.taskTime = true, 10*time.Minute
			accepted(t, w.submit("e", "req-free-1", 40, ""))
			w.started("req-free-1", 40)
			returned := 0
			w.onEffect = func(_ string, e Effect) {
				if l, is := e.(Log); is && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) {
					returned++
				}
			}
			begin := w.now
			w.cancelJob("e", "req-free-1")
			if w.now-begin > 2*time.Second {
				t.Errorf("the user waited %v, want at most 2 s", w.now-begin)
			}
			w.run(w.cancelDeadline(), nil)
			if n := w.onMachines("req-free-1"); n > 0 || returned > 0 {
				t.Errorf("got %d running tasks and %d machine returns, want none", n, returned)
			}
		})
	}
}

// Guards against confirming a cancellation that only one controller knows of: the one that stored
// it has crashed, and the other has learned of it from its watch. No user is told before another
// controller knows.
func TestCancellationKnownByWatchAloneIsNotConfirmed(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("b", cancelledJob, 40, ""))
	w.started(cancelledJob, 40)
	w.refuse(everyLink)
	for _, n := range []string{"a", "c", "d", "e"} {
		w.watchedAt[n] = w.now + time.Hour // their watches deliver nothing
	}
	w.watchLag = time.Second
	w.send("d", Cancel{Req: 1 << 20, ID: cancelledJob})
	if !w.run(time.Second, func() bool { return w.kv[cancelKey(cancelledJob)].Version > 0 }) {
		t.Fatal("the cancellation was not stored")
	}
	w.crash("d")
	w.run(2*time.Second, nil)
	b := w.cores["b"]
	if !b.announcements.has(cancelledJob) || b.reach.knownToAnother(b.announcements.find(cancelledJob)) {
		t.Fatal("b is not the only controller that knows of the cancellation")
	}
	for _, command := range []func(req uint64) Command{
		func(req uint64) Command { return Status{Req: req, ID: cancelledJob} },
		func(req uint64) Command { return Cancel{Req: req, ID: cancelledJob} },
		func(req uint64) Command {
			return Submit{Req: req, Body: []byte(submission(cancelledJob, "free", 40, ""))}
		},
	} {
		if a := w.request("b", command); a.Status != http.StatusServiceUnavailable {
			t.Errorf("got %v while no other controller knows of the cancellation", a.Body)
		}
	}
	w.restore()
	w.run(time.Second, nil)
	if s := stateOf(t, w.status("b", cancelledJob)); s.State != protocol.Cancelled {
		t.Errorf("got state %q once other controllers know, want cancelled", s.State)
	}
}
