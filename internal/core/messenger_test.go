package core

import (
	"slices"
	"testing"

	"pepperlever/internal/protocol"
)

// Reports of hundreds of tasks each are divided into messages that a peer reads as one line.
func TestBatchObservationsBoundsMessages(t *testing.T) {
	var all []Observation
	for n := range 200 {
		o := Observation{}
		o.Report.Tasks = make([]protocol.TaskReport, n*5)
		all = append(all, o)
	}
	seen := 0
	for part := range batchObservations(all) {
		tasks := 0
		for _, o := range part {
			tasks += len(o.Report.Tasks)
		}
		if tasks > tasksPerMessage && len(part) > 1 {
			t.Errorf("%d tasks in %d reports of one message", tasks, len(part))
		}
		seen += len(part)
	}
	if seen != len(all) {
		t.Errorf("%d of %d reports are passed on", seen, len(all))
	}
}

// A message takes the connection to its receiver, or one intermediary, and is dropped otherwise.
func TestRoute(t *testing.T) {
	const receiver = "b"
	for name, test := range map[string]struct {
		connected []string
		// without names the peers that have said that they are not connected to the receiver.
		without []string
		message PeerMessage
		// via is the node that the message is sent to, empty for none.
		via string
	}{
		"connected":                        {connected: []string{"b", "c"}, via: "b"},
		"over an intermediary":             {connected: []string{"c", "d"}, via: "c"},
		"over one connected to it":         {connected: []string{"c", "d"}, without: []string{"c"}, via: "d"},
		"over one that is not, if need be": {connected: []string{"c"}, without: []string{"c"}, via: "c"},
		"not connected to anyone":          {},
		"passed on already":                {connected: []string{"c"}, message: PeerMessage{To: receiver, From: "d"}},
		"passed on already, and connected": {connected: []string{"b"}, message: PeerMessage{To: receiver, From: "d"}, via: "b"},
	} {
		c := newWorldOf(t, fiveNodes).cores["a"]
		for _, node := range c.peers.names {
			c.peers.setConnected(node, slices.Contains(test.connected, node))
		}
		for _, node := range test.without {
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
	c := newWorldOf(t, fiveNodes).cores["a"]
	c.effects = nil
	if c.route("stranger", PeerMessage{}); len(c.effects) > 0 {
		t.Errorf("a message to an unknown node is sent: %+v", c.effects)
	}
}
