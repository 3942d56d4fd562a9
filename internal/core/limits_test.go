package core

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// The watch may be too old in the middle of a wave of losses, and the stored
// state is then read again over what this node knows better.
func TestStateReadAgainInTheMiddleOfAWaveLosesNothing(t *testing.T) {
	w := newWorld(t).ready()
	var ids []string
	for _, team := range []string{"red", "blue", "free"} {
		id := "req-" + team + "-1"
		accepted(t, w.submit("a", id, 40, ""))
		ids = append(ids, id)
	}
	w.started(ids[2], 4)
	for i := range 12 {
		w.load(nodeNames[i%len(nodeNames)])
		lost := 0
		for _, id := range slices.Sorted(maps.Keys(w.workers)) {
			if f := w.workers[id]; !f.dead && lost < 2 {
				f.dead = true
				lost++
			}
		}
		w.run(500*time.Millisecond, nil)
	}
	if !w.run(5*time.Minute, w.finished(ids...)) {
		t.Fatal("jobs do not end")
	}
}

// The cloud's lists lag, may be older than the one before, and were once passed
// on cut short. A machine that reports is not given up for any of that.
func TestOldShuffledAndShortListsCostNoMachineThatReports(t *testing.T) {
	const fleet = 2000
	rng := rand.New(rand.NewPCG(3, 4))
	c := renter(t, fleet, time.Minute)
	all := slices.SortedFunc(maps.Values(c.autoscaler.listed), func(a, b protocol.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
	report := c.reportInterval()
	for round := range uint64(40) {
		for i := range fleet {
			r := protocol.Report{Machine: fmt.Sprintf("vm-9%03d", i), Type: "small", Zone: "z1", Spot: true, Session: 1, Seq: round + 1, Token: 1}
			c.applyObservation(Observation{Node: c.cfg.Node, Token: 1, Report: r})
		}
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		c.handleInventory(InventoryReceived{Machines: all[:rng.IntN(fleet)]})
		c.reconcileInventory()
		if n := len(c.autoscaler.returnReasons); n > 0 {
			t.Fatalf("round %d: %d machines are given up", round, n)
		}
		c.now.Steady += 2 * report
	}
}
