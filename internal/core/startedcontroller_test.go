package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// newStartedCore returns the core of controller a, which has just started and knows nothing yet.
func newStartedCore() *Core { return New(testSettings("a"), settings.DefaultPolicy(), "a") }

// restartAndCancel describes a cancellation at a controller that has just started.
type restartAndCancel struct {
	// refused matches the links that are down from the controller's crash on.
	refused func(from, to, started string) bool
	// status is the status of the answer.
	status int
}

// A controller that has just started has not heard of the others, which does not mean that they know
// what it knows. It must not confirm a cancellation alone: if it crashes after that and the store is
// down, the other controllers let the tasks run on (docs/incidents/told-alone.md).
func TestStartedControllerDoesNotConfirmCancellationAlone(t *testing.T) {
	for name, scenario := range map[string]restartAndCancel{
		"links healthy":     {refused: func(_, _, _ string) bool { return false }, status: http.StatusOK},
		"all links refused": {refused: func(_, _, _ string) bool { return true }, status: http.StatusServiceUnavailable},
		"its links refused": {
			refused: func(from, to, started string) bool { return from == started || to == started },
			status:  http.StatusServiceUnavailable,
		},
		"inbound refused": {
			refused: func(_, to, started string) bool { return to == started },
			status:  http.StatusServiceUnavailable,
		},
		// The first messages that arrive are the reports of other controllers' machines.
		"outbound refused": {
			refused: func(from, _, started string) bool { return from == started },
			status:  http.StatusServiceUnavailable,
		},
		"one way to a single controller": {
			refused: func(from, to, started string) bool { return to == started || from == started && to != "c" },
			status:  http.StatusServiceUnavailable,
		},
		"one way from a single controller": {
			refused: func(from, to, started string) bool { return from == started || to == started && from != "c" },
			status:  http.StatusServiceUnavailable,
		},
		"both ways with a single controller": {
			refused: func(from, to, started string) bool {
				return from == started && to != "c" || to == started && from != "c"
			},
			status: http.StatusOK,
		},
	} {
		// The other controllers' heartbeats are sent every seven ticks.
		for phase := range 7 {
			t.Run(fmt.Sprintf("%s, phase %d", name, phase), func(t *testing.T) {
				t.Parallel()
				scenario.run(t, time.Duration(phase)*100*time.Millisecond)
			})
		}
	}
}

// run crashes and restarts a controller and cancels a job there. When the user has the answer, the
// controller crashes again and the store goes down, before any watch has shown the cancellation.
func (s restartAndCancel) run(t *testing.T, phase time.Duration) {
	const started = "a"
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("b", cancelledJobID, 40, ""))
	cluster.waitUntilStarted(cancelledJobID, 40)
	cluster.run(reportIntervals(2)+phase, nil)
	cluster.crash(started)
	cluster.run(200*time.Millisecond, nil)
	cluster.disconnectLinks(func(from, to string) bool { return s.refused(from, to, started) })
	cluster.boot(started)
	cluster.latency = true
	cluster.delayWatches(5 * time.Second)
	cluster.run(200*time.Millisecond, nil)
	if answer := cluster.cancelJob(started, cancelledJobID); answer.Status != s.status {
		t.Errorf("got status %d, want %d", answer.Status, s.status)
	}
	cluster.outage = true
	cluster.crash(started)
	cluster.run(cluster.cancelDeadline()*3/2, nil)
	cluster.watchLag = 0
	cluster.endOutage()
	cluster.heal()
	cluster.run(cluster.cancelDeadline(), nil)
	if n := cluster.onMachines(cancelledJobID); n > 0 {
		t.Errorf("%d tasks of the cancelled job run once all faults are over", n)
	}
}

// Nothing but a message shows that a controller of an earlier version is there, and nothing but a
// heartbeat shows that it is of an earlier version. Nobody else runs only if none is registered and this
// node has listened for a report interval.
func TestSecondControllerIsKnownByItsMessages(t *testing.T) {
	const report = 2 * time.Second
	hear := func(node string, m PeerMessage) func(c *Core) {
		return func(c *Core) { c.handlePeerMessage(PeerMessageReceived{Node: node, Message: m}) }
	}
	register := func(c *Core) { c.members.live["b"] = nodeRecord{Incarnation: "b1"} }
	const cancelledAt = 7 // the revision of the cancellation
	for name, test := range map[string]struct {
		age      time.Duration // of this process, when the last of the events has happened
		then     []func(c *Core)
		unloaded bool   // the stored state has not been read
		behind   uint64 // how many revisions the replica is behind
		want     bool
	}{
		"stored state not read":                  {age: time.Hour, unloaded: true, behind: cancelledAt},
		"registrations of the time not read":     {age: time.Hour, behind: 1},
		"just started":                           {age: 0},
		"nothing heard, not listened for long":   {age: report - 1},
		"nothing heard, no other registered":     {age: report, want: true},
		"nothing heard, another one registered":  {age: report, then: []func(c *Core){register}},
		"reports heard":                          {age: 1, then: []func(c *Core){hear("b", PeerMessage{Observations: []Observation{}})}},
		"claims heard":                           {age: 1, then: []func(c *Core){hear("b", PeerMessage{Claims: []Claim{}})}},
		"reports heard, long after the start":    {age: time.Hour, then: []func(c *Core){hear("b", PeerMessage{Observations: []Observation{}})}},
		"heartbeat of this version":              {age: 1, then: []func(c *Core){hear("b", PeerMessage{Heartbeat: &NodeHeartbeat{ID: "b1.1", Revision: 6}})}},
		"heartbeat that has seen the revision":   {age: 1, then: []func(c *Core){hear("b", PeerMessage{Heartbeat: &NodeHeartbeat{ID: "b1.1", Revision: 7}})}, want: true},
		"heartbeat of an earlier version":        {age: 1, then: []func(c *Core){hear("b", PeerMessage{Heartbeat: &NodeHeartbeat{}})}, want: true},
		"earlier version, upgraded since":        {age: 1, then: []func(c *Core){hear("b", PeerMessage{Heartbeat: &NodeHeartbeat{}}), hear("b", PeerMessage{Heartbeat: &NodeHeartbeat{ID: "b1.1"}})}},
		"earlier version, silent and registered": {age: time.Hour, then: []func(c *Core){register, listenFrom(time.Minute, hear("b", PeerMessage{Heartbeat: &NodeHeartbeat{}}))}},
		"acknowledgement":                        {age: 1, then: []func(c *Core){hear("c", PeerMessage{Acknowledged: []string{cancelledJobID}})}, want: true},
	} {
		c := newStartedCore()
		c.replica.loaded, c.replica.revision = !test.unloaded, cancelledAt-test.behind
		c.announcements.apply(Cancellation{Job: cancelledJobID, Revision: cancelledAt})
		c.now.Steady = test.age
		for _, event := range test.then {
			event(c)
		}
		if got := c.peerReachability.knownToSecondController(c.announcements.find(cancelledJobID)); got != test.want {
			t.Errorf("%s: got known to a second controller %v", name, got)
		}
	}
}

// A controller that has not read the registrations does not know who else runs. It must not conclude that
// it runs alone, and confirm a cancellation that another controller has stored before it crashed.
func TestControllerThatHasNotReadRegistrationsDoesNotConfirmCancellation(t *testing.T) {
	const started = "a"
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("b", cancelledJobID, 40, ""))
	cluster.waitUntilStarted(cancelledJobID, 40)
	cluster.crash(started)
	cluster.disconnectLinks(func(from, to string) bool { return from == started || to == started })
	cluster.listPageSize = 1
	cluster.holdNextPage = func(node string) bool { return node == started }
	cluster.boot(started)
	cluster.run(reportIntervals(3), nil)
	cluster.delayWatches(time.Minute)
	cluster.commitTxn(protocol.Txn{
		If: []protocol.Condition{{Key: keyState + cancelledJobID}},
		Then: []protocol.Change{
			putJSON(keyState+cancelledJobID, finalStateRecord{State: protocol.Cancelled}),
			putJSON(cancelKey(cancelledJobID), cancelRecord{RequestedAt: cluster.now.Milliseconds()}),
		},
	})
	if cluster.cores[started].replica.loaded {
		t.Fatal("the controller has read the stored state")
	}
	if answer := cluster.status(started, cancelledJobID); answer.Status == http.StatusOK {
		t.Errorf("got %v from a controller that does not know who else runs", answer.Body)
		cluster.confirmCancelled(cancelledJobID)
	}
	cluster.outage = true
	cluster.crash(started)
	cluster.run(cluster.cancelDeadline()*3/2, nil)
}

// listenFrom returns an event that happens at another age of the process.
func listenFrom(age time.Duration, event func(c *Core)) func(c *Core) {
	return func(c *Core) {
		now := c.now.Steady
		c.now.Steady = age
		event(c)
		c.now.Steady = now
	}
}
