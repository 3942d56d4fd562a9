package core

import (
	"slices"
	"testing"

	"pepperlever/internal/protocol"
)

// Reports with hundreds of tasks each are split into messages that a peer can read as one line.
func TestBatchObservationsBoundsMessages(t *testing.T) {
	var all []Observation
	for n := range 200 {
		o := Observation{}
		o.Report.Tasks = make([]protocol.TaskReport, n*5)
		all = append(all, o)
	}
	seen := 0
	for batch := range batchObservations(all) {
		tasks := 0
		for _, o := range batch {
			tasks += len(o.Report.Tasks)
		}
		if tasks > maxTasksPerMessage && len(batch) > 1 {
			t.Errorf("message with %d tasks in %d reports exceeds the limit", tasks, len(batch))
		}
		seen += len(batch)
	}
	if seen != len(all) {
		t.Errorf("batches contain %d of %d reports", seen, len(all))
	}
}

// A message goes over the connection to its receiver or through one intermediary, and is
// dropped otherwise.
func TestRoute(t *testing.T) {
	const receiver = "b"
	for name, test := range map[string]struct {
		connected []string
		// reportDisconnected lists the peers that have reported that they are not connected to the
		// receiver.
		reportDisconnected []string
		message            PeerMessage
		// via is the controller that the message is sent to, or empty if it is dropped.
		via string
	}{
		"connected":                             {connected: []string{"b", "c"}, via: "b"},
		"through an intermediary":               {connected: []string{"c", "d"}, via: "c"},
		"connected intermediary preferred":      {connected: []string{"c", "d"}, reportDisconnected: []string{"c"}, via: "d"},
		"disconnected intermediary as fallback": {connected: []string{"c"}, reportDisconnected: []string{"c"}, via: "c"},
		"no connections":                        {},
		"already forwarded":                     {connected: []string{"c"}, message: PeerMessage{To: receiver, From: "d"}},
		"already forwarded, receiver connected": {connected: []string{"b"}, message: PeerMessage{To: receiver, From: "d"}, via: "b"},
	} {
		c := newSimClusterOf(t, fiveNodes).cores["a"]
		for _, node := range c.peers.names {
			c.peers.setConnected(node, slices.Contains(test.connected, node))
		}
		for _, node := range test.reportDisconnected {
			c.peers.get(node).disconnected = []string{receiver}
		}
		c.effects = nil
		c.route(receiver, test.message)
		var sent []string
		for _, e := range c.effects {
			sent = append(sent, e.(SendPeer).Nodes...)
		}
		if test.via == "" && len(sent) > 0 || test.via != "" && !slices.Equal(sent, []string{test.via}) {
			t.Errorf("%s: sent to %v, want %q", name, sent, test.via)
		}
	}
	c := newSimClusterOf(t, fiveNodes).cores["a"]
	c.effects = nil
	if c.route("stranger", PeerMessage{}); len(c.effects) > 0 {
		t.Errorf("message to an unknown controller was sent: %+v", c.effects)
	}
}

// Guards against a machine that seems to report on its own after its token was raised by a probe.
func TestQueuedObservationKeepsItsKindWhenItsTokenIsRaised(t *testing.T) {
	c := newSimClusterOf(t, fiveNodes).cores["a"]
	report := protocol.Report{Machine: "vm", WorkerEpoch: 1, Seq: 5}
	c.queueObservation(Observation{Node: "a", Token: 3, Report: report, Direct: true})
	c.queueObservation(Observation{Node: "a", Token: 4, Report: report})
	report.Seq++
	c.queueObservation(Observation{Node: "a", Token: 4, Report: report})
	if got := c.pendingObservations; len(got) != 2 || got[0].Token != 4 || !got[0].Direct || got[1].Report.Seq != 6 {
		t.Errorf("got %+v", got)
	}
}
