package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A start that waits for its delivery, or comes after it, while an announcement says that its job
// is cancelled: neither is delivered, though the job is not in the replica.
func TestAnnouncedCancellationBlocksStarts(t *testing.T) {
	told := Cancellation{Job: "req-free-1", Revision: 3}
	start := Start{Machine: "vm", Task: "req-free-1/0", Attempt: 1, Token: 1, Epoch: 1}
	for name, toldFirst := range map[string]bool{"the announcement comes first": true, "the start comes first": false} {
		c := newWorld(t).cores["a"]
		c.handleCatalog(CatalogReceived{Types: newWorld(t).types})
		c.agents.tokens.acquired[1] = true
		w := newAgentSession(1, 1, "")
		c.agents.add("vm", w)
		m := c.addMachine("vm")
		m.Machine, m.Type, m.Node = "vm", "small", "a"
		if toldFirst {
			c.announcements.receive("b", []Cancellation{told})
		}
		c.agents.forwardStart("b", start)
		if waits := len(w.queuedStarts) > 0; waits == toldFirst {
			t.Errorf("%s: the start waits: %v", name, waits)
		}
		c.announcements.receive("b", []Cancellation{told})
		c.agents.deliverTo("vm", w)
		if len(w.queuedStarts) > 0 || len(w.pendingStarts) > 0 {
			t.Errorf("%s: %d starts wait, %d were sent", name, len(w.queuedStarts), len(w.pendingStarts))
		}
		for _, e := range c.effects {
			if d, is := e.(Deliver); is && len(d.Orders.Commands) > 0 {
				t.Errorf("%s: %+v", name, d.Orders.Commands)
			}
		}
	}
}

// The acceptance of a job may come after the announcement that it is cancelled.
func TestJobAcceptedAfterItsCancellationIsCancelled(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-free-1", 3, ""))
	c := New(testSettings("a"), w.cores["a"].policy, "a")
	c.announcements.receive("b", []Cancellation{{Job: "req-free-1", Revision: 99}})
	c.onPut(w.kv[jobKey("req-free-1")])
	if j := c.jobs["req-free-1"]; j == nil || !j.Cancelled {
		t.Errorf("it is taken for a live one: %+v", j)
	}
}

// Malformed cancellations change nothing, and valid ones in the same message are applied.
func TestMalformedCancellationsAreIgnored(t *testing.T) {
	good := Cancellation{Job: "req-good-1", Revision: 7}
	for name, told := range map[string][]Cancellation{
		"no id":             {{Job: "../x", Revision: 7}, good},
		"no revision":       {{Job: "req-free-1"}, good},
		"job that was done": {{Job: "req-done-1", Revision: 7}, good},
		"job never seen":    {{Job: "req-never-1", Revision: 7}, good},
		"said twice":        {good, good},
	} {
		c := newWorld(t).cores["a"]
		c.rememberFinalState("req-done-1", protocol.JobState{ID: "req-done-1", State: protocol.Done})
		c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: PeerMessage{Cancellations: told}})
		c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: PeerMessage{Acknowledged: []string{"req-else-1", good.Job}}})
		if !c.ended.isDone("req-done-1") || c.announcements.has("req-done-1") || c.cancelled("req-free-1") || c.cancelled("../x") {
			t.Errorf("%s: taken", name)
		}
		if !c.cancelled(good.Job) {
			t.Errorf("%s: what was right beside it is not taken", name)
		}
	}
	c := newWorld(t).cores["a"]
	c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: PeerMessage{From: "stranger", Cancellations: []Cancellation{good}}})
	if c.cancelled(good.Job) {
		t.Error("what an unknown node says is taken")
	}
}

// However many cancellations come, memory and messages stay bounded.
func TestAnnouncementsAreBounded(t *testing.T) {
	c := newWorld(t).cores["a"]
	for i := range 2 * maxAnnouncements {
		c.announcements.note(Cancellation{Job: fmt.Sprintf("req-many-%d", i), Revision: 9})
	}
	if len(c.announcements.byJob) > maxAnnouncements || len(c.announcements.order) > maxAnnouncements {
		t.Errorf("%d announcements are kept", len(c.announcements.byJob))
	}
	c.peers.setConnected("b", true)
	c.effects = nil
	c.now.Steady = time.Minute
	c.announcements.repeat()
	if m := c.effects[0].(SendPeer); len(m.Message.Cancellations) != cancellationsPerMessage {
		t.Errorf("a message has %d cancellations", len(m.Message.Cancellations))
	}
	if b := c.newHeartbeat(); len(b.Unacknowledged) != 2 {
		t.Errorf("unacknowledged by %v", b.Unacknowledged)
	}
}

// Without faults a cancellation costs one message to each controller, and no machine.
func TestAnnouncementCostsOneMessageAPeer(t *testing.T) {
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
		t.Error("tasks are not gone after 5 s")
	}
	t.Logf("gone after %v", w.now-begin)
	w.run(2*time.Second, nil)
	if messages != len(w.names)-1 || len(w.workers) != machines {
		t.Errorf("%d messages, of %d machines %d are left", messages, machines, len(w.workers))
	}
}

// In a rolling upgrade some controllers know neither announcements nor acknowledgements: users are
// told in time all the same, tasks end, and no machine is returned for it.
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
				t.Errorf("the user waits for %v", w.now-begin)
			}
			w.run(w.cancelDeadline(), nil)
			if n := w.onMachines("req-free-1"); n > 0 || returned > 0 {
				t.Errorf("%d tasks are left, %d times a machine was returned", n, returned)
			}
		})
	}
}

// A controller may know a cancellation by its watch alone, the one that stored it having crashed.
// It confirms it to no user before another controller knows.
func TestCancellationKnownByWatchAloneIsNotConfirmed(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("b", cancelledJob, 40, ""))
	w.started(cancelledJob, 40)
	w.refuse(everyLink)
	for _, n := range []string{"a", "c", "d", "e"} {
		w.watchedAt[n] = w.now + time.Hour // their watches bring nothing
	}
	w.watchLag = time.Second
	w.send("d", Cancel{Req: 1 << 20, ID: cancelledJob})
	if !w.run(time.Second, func() bool { return w.kv[cancelKey(cancelledJob)].Version > 0 }) {
		t.Fatal("the cancellation is not stored")
	}
	w.crash("d")
	w.run(2*time.Second, nil)
	b := w.cores["b"]
	if !b.announcements.has(cancelledJob) || b.reach.knownToAnother(b.announcements.of(cancelledJob)) {
		t.Fatal("b is not the only one that knows")
	}
	for _, command := range []func(req uint64) Command{
		func(req uint64) Command { return Status{Req: req, ID: cancelledJob} },
		func(req uint64) Command { return Cancel{Req: req, ID: cancelledJob} },
		func(req uint64) Command {
			return Submit{Req: req, Body: []byte(submission(cancelledJob, "free", 40, ""))}
		},
	} {
		if a := w.request("b", command); a.Status != http.StatusServiceUnavailable {
			t.Errorf("told %v while nobody else knows", a.Body)
		}
	}
	w.restore()
	w.run(time.Second, nil)
	if s := stateOf(t, w.status("b", cancelledJob)); s.State != protocol.Cancelled {
		t.Errorf("once others know it is %q", s.State)
	}
}
