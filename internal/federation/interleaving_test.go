package federation

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pepperlever/internal/testseed"
)

// TestMain sets the default seed of the property tests. The flags -rapid.seed and -rapid.checks
// extend the search.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

// TestInterleavingsKeepOneOwnerAndOneFinalState runs three sites with reordered messages,
// disconnected links, coordinator restarts, store outages, unanswered and delayed writes,
// cancellations and give-ups. At most one site may have the right to run a job unless its hand-off
// was given up, a job must have one final state, and all jobs must end once the faults have ended.
func TestInterleavingsKeepOneOwnerAndOneFinalState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t.Fatalf)
		for len(sim.inFlight) > 0 {
			sim.deliver(0, false, noFault) // the sites compare their records
		}
		siteGen := rapid.SampledFrom(siteNames)
		faultGen := rapid.SampledFrom([]writeFault{noFault, noFault, noFault, appliedUnanswered, notApplied, delayed})
		submitted := 0
		drawJob := func(t *rapid.T) (Site, string) {
			site := siteGen.Draw(t, "site")
			ids := sortedJobs(sim.sites[site])
			if len(ids) == 0 {
				t.Skip("site has no jobs")
			}
			return site, rapid.SampledFrom(ids).Draw(t, "job")
		}
		tick := func(t *rapid.T) {
			sim.now += time.Duration(rapid.SampledFrom([]int{1, 1, 4, 20}).Draw(t, "seconds")) * time.Second
			sim.tick(siteGen.Draw(t, "site"), faultGen.Draw(t, "write fault"))
		}
		deliver := func(t *rapid.T) {
			if len(sim.inFlight) == 0 {
				t.Skip("no message in flight")
			}
			sim.deliver(rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "duplicate"), faultGen.Draw(t, "write fault"))
		}
		// rarely calls f for only one of eight drawn values, so that f runs less often than the other
		// actions.
		rarely := func(t *rapid.T, f func()) {
			if rapid.IntRange(0, 7).Draw(t, "rarely") == 0 {
				f()
			}
		}
		submit := func(t *rapid.T) {
			submitted++
			sim.submit(siteGen.Draw(t, "site"), fmt.Sprintf("req-%d", submitted), rapid.SampledFrom([]string{"k", "once"}).Draw(t, "class"))
		}
		submit(t)
		submit(t)
		t.Repeat(map[string]func(*rapid.T){
			"tick": tick, "tick more": tick, "deliver": deliver, "deliver more": deliver, "deliver most": deliver,
			"submit": func(t *rapid.T) {
				if submitted < 4 {
					submit(t)
				}
			},
			"lose": func(t *rapid.T) {
				if len(sim.inFlight) == 0 {
					t.Skip("no message in flight")
				}
				i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "message")
				sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
			},
			"run": func(t *rapid.T) {
				site, id := drawJob(t)
				if sim.sites[site].jobs[id].userJobID != id {
					sim.startOrFinish(site, id)
				} else { // a job that starts here is no longer handed off
					rarely(t, func() { sim.startOrFinish(site, id) })
				}
			},
			"cancel": func(t *rapid.T) {
				site, id := drawJob(t)
				if sim.sites[site].jobs[id].userJobID == id { // users cancel only jobs that they submitted
					rarely(t, func() { sim.cancel(site, id) })
				}
			},
			"give up": func(t *rapid.T) {
				rarely(t, func() {
					site, id := drawJob(t)
					sim.step(site, GiveUp{Req: 1, JobID: id, Operator: "ana", Reason: "site burnt down"})
				})
			},
			"crash":      func(t *rapid.T) { rarely(t, func() { sim.startCoordinator(siteGen.Draw(t, "site")) }) },
			"late write": func(t *rapid.T) { sim.applyDelayedWrite(siteGen.Draw(t, "site")) },
			"cut": func(t *rapid.T) {
				rarely(t, func() { sim.cutLinks[[2]Site{siteGen.Draw(t, "from"), siteGen.Draw(t, "to")}] = true })
			},
			"outage": func(t *rapid.T) { rarely(t, func() { sim.failedStores[siteGen.Draw(t, "site")] = true }) },
			"heal": func(t *rapid.T) {
				clear(sim.cutLinks)
				clear(sim.failedStores)
			},
		})
		sim.runToCompletion()
	})
}
