package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// nearZ2 is a renter in z1, with controllers b in z1 and c in z2, that has heard
// ten machines of each zone.
func nearZ2(t *testing.T) *Core {
	t.Helper()
	c := renter(t, 0, 0)
	c.cfg.Zone = "z1"
	c.cfg.Peers[0].Zone, c.cfg.Peers[1].Zone = "z1", "z2"
	for i := range 20 {
		c.applyObservation(Observation{Node: "c", Token: 1, Report: protocol.Report{Machine: fmt.Sprintf("vm-9%03d", i),
			Type: "small", Zone: fmt.Sprintf("z%d", 1+i/10), Session: 1, Seq: 1}})
	}
	return c
}

// A cut zone's controllers go on answering its workers. Given up after the usual
// silence, all that runs in there would run again.
func TestMachinesOfADarkZoneAreLeftAloneForAWhile(t *testing.T) {
	const lease = 16 * time.Second
	quiet := 2 * lease // more than the usual silence
	for name, k := range map[string]struct {
		heard  []string // controllers that are heard
		alive  []int    // machines that are heard
		quiet  time.Duration
		givenB int // machines given up in z2
	}{
		"zone is dark":                         {heard: []string{"b"}, quiet: quiet, givenB: 0},
		"dark for too long":                    {heard: []string{"b"}, quiet: (zoneOutageLeases + 1) * lease, givenB: 10},
		"its controller is heard":              {heard: []string{"b", "c"}, quiet: quiet, givenB: 10},
		"one of its machines is heard by us":   {heard: []string{"b"}, alive: []int{15}, quiet: quiet, givenB: 9},
		"machines of the renter's own zone go": {heard: []string{"c"}, quiet: quiet, givenB: 10},
	} {
		c := nearZ2(t)
		c.now.Steady += k.quiet
		for _, n := range k.heard {
			c.peers.get(n).lastContact = c.now.Steady
		}
		delete(c.members.live, "b") // what is not heard has lost its lease
		delete(c.members.live, "c")
		for _, i := range k.alive {
			c.machines.RecordContact(c.machines.Get(fmt.Sprintf("vm-9%03d", i)), false, c.now.Steady)
		}
		c.reconcileInventory()
		given := map[string]int{}
		for id := range c.autoscaler.returnReasons {
			given[c.machines.Get(id).Zone]++
		}
		if given["z2"] != k.givenB || given["z1"] != 10 {
			t.Errorf("%s: given up %v", name, given)
		}
	}
}

// A controller that starts during a cut knows the machines behind it by their
// bindings alone. It had every one of them given up.
func TestMachineUnheardByItsHomeIsTheRentersToJudge(t *testing.T) {
	c := nearZ2(t)
	c.now.Steady += 32 * time.Second
	c.handleInventory(InventoryReceived{Machines: []protocol.ListedMachine{{ID: "vm-listed", Zone: "z2", State: protocol.Running}}})
	for id, given := range map[string]bool{"vm-9015": false, "vm-listed": false, "vm-nobody-knows": true} {
		c.handleReturnRequest(ReturnRequest{Machine: id, Reason: reasonUnknownMachine})
		if got := c.autoscaler.returnReasons[id] != ""; got != given {
			t.Errorf("%s: given up %v", id, got)
		}
	}
	c.handleReturnRequest(ReturnRequest{Machine: "vm-9015", Reason: "cancelled task does not end"})
	if c.autoscaler.returnReasons["vm-9015"] == "" {
		t.Error("a cancelled task is left on a machine of a dark zone")
	}
}

// A team without a home used to wait for up to a sixth of a report interval after
// its controller was back or known to be gone.
func TestTeamsAreTakenAsSoonAsTheirControllerIsKnownToBeGone(t *testing.T) {
	w := newWorld(t).ready()
	w.run(5*time.Second, nil)
	for _, c := range w.cores {
		c.members.nextElection = w.now + time.Hour // they have just looked
	}
	w.crash("b")
	w.expire("b")
	w.run(3*w.tick, nil) // the watch, the write, and the watch again
	for _, n := range []string{"a", "c"} {
		for _, k := range w.cores[n].allShards() {
			if k.leader != "a" && k.leader != "c" {
				t.Errorf("%s takes %s to be at %q", n, k.name, k.leader)
			}
		}
	}
}
