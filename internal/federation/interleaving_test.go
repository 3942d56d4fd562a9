package federation

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pepperlever/internal/testseed"
)

// TestMain fixes the seed of the property tests; -rapid.seed and -rapid.checks search further.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

// Three sites, any order of messages, cuts, restarts of coordinators, outages of stores,
// writes without an answer or applied late, cancels and operators: one right to
// run, one final answer, and everything ends once the troubles do.
func TestAnyInterleavingKeepsOneOwnerAndOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSim(t.Fatalf)
		for len(w.inFlight) > 0 {
			w.deliver(0, false, fine) // the sites compare their records
		}
		site := rapid.SampledFrom(siteNames)
		fates := rapid.SampledFrom([]fate{fine, fine, fine, unanswered, lost, late})
		next := 0
		job := func(t *rapid.T) (Site, string) {
			n := site.Draw(t, "site")
			ids := sortedJobs(w.sites[n])
			if len(ids) == 0 {
				t.Skip("no job here")
			}
			return n, rapid.SampledFrom(ids).Draw(t, "job")
		}
		tick := func(t *rapid.T) {
			w.now += time.Duration(rapid.SampledFrom([]int{1, 1, 4, 20}).Draw(t, "seconds")) * time.Second
			w.tick(site.Draw(t, "site"), fates.Draw(t, "fate"))
		}
		deliver := func(t *rapid.T) {
			if len(w.inFlight) == 0 {
				t.Skip("nothing flies")
			}
			w.deliver(rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message"), rapid.Bool().Draw(t, "again"), fates.Draw(t, "fate"))
		}
		seldom := func(t *rapid.T, f func()) {
			if rapid.IntRange(0, 7).Draw(t, "seldom") == 0 {
				f()
			}
		}
		submit := func(t *rapid.T) {
			next++
			w.submit(site.Draw(t, "site"), fmt.Sprintf("req-%d", next), rapid.SampledFrom([]string{"k", "once"}).Draw(t, "class"))
		}
		submit(t)
		submit(t)
		t.Repeat(map[string]func(*rapid.T){
			"tick": tick, "tick more": tick, "deliver": deliver, "deliver more": deliver, "deliver most": deliver,
			"submit": func(t *rapid.T) {
				if next < 4 {
					submit(t)
				}
			},
			"lose": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					t.Skip("nothing flies")
				}
				i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
				w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
			},
			"run": func(t *rapid.T) {
				n, id := job(t)
				if w.sites[n].jobs[id].userJobID != id {
					w.run(n, id)
				} else { // jobs that run at once are never handed off
					seldom(t, func() { w.run(n, id) })
				}
			},
			"cancel": func(t *rapid.T) {
				n, id := job(t)
				if w.sites[n].jobs[id].userJobID == id { // users know their own jobs
					seldom(t, func() { w.cancel(n, id) })
				}
			},
			"give up": func(t *rapid.T) {
				seldom(t, func() {
					n, id := job(t)
					w.step(n, GiveUp{Req: 1, JobID: id, Operator: "ana", Reason: "site burnt down"})
				})
			},
			"crash":      func(t *rapid.T) { seldom(t, func() { w.boot(site.Draw(t, "site")) }) },
			"late write": func(t *rapid.T) { w.applyLate(site.Draw(t, "site")) },
			"cut": func(t *rapid.T) {
				seldom(t, func() { w.cut[[2]Site{site.Draw(t, "from"), site.Draw(t, "to")}] = true })
			},
			"outage": func(t *rapid.T) { seldom(t, func() { w.down[site.Draw(t, "site")] = true }) },
			"heal": func(t *rapid.T) {
				clear(w.cut)
				clear(w.down)
			},
		})
		w.finish()
	})
}
