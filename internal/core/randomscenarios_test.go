package core

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
	"pepperlever/internal/testseed"
)

// TestMain fixes the seed and the number of checks of the property tests. The flags -rapid.seed and
// -rapid.checks override them to search further.
func TestMain(m *testing.M) {
	status := testseed.Run(m, testseed.Flags{"rapid.checks": "2"})
	printEffectsDigest()
	os.Exit(status)
}

// scenarioStep is one step of a random scenario: it submits jobs, injects a fault, waits and may
// cancel a job.
type scenarioStep struct {
	Fault string
	// Node and Other index the controllers that the fault may affect; Seed seeds the other random
	// choices of the step.
	Node, Other int
	Seed        uint64
	Pause       time.Duration
	// Tasks is the number of tasks of each new job, or 0 to submit none. LongTasks gives all tasks
	// a long run time. Cancel is the number of the open job to cancel, counted from 1, or 0 for
	// none.
	Tasks     int
	LongTasks bool
	Cancel    int
	// Variant selects from jobVariants; a higher index submits plain arrays.
	Variant int
	// Dependencies is the number of earlier jobs that each new job depends on.
	Dependencies int
}

// drawScenarioStep returns a generator of steps. About one step in three has the fault named by
// focus; the others have a random fault.
func drawScenarioStep(focus string) *rapid.Generator[scenarioStep] {
	names := slices.Sorted(maps.Keys(faults))
	return rapid.Custom(func(t *rapid.T) scenarioStep {
		step := scenarioStep{Fault: focus}
		if rapid.IntRange(0, 2).Draw(t, "focus") > 0 {
			step.Fault = rapid.SampledFrom(names).Draw(t, "fault")
		}
		step.Node, step.Other = rapid.IntRange(0, 4).Draw(t, "node"), rapid.IntRange(0, 4).Draw(t, "other")
		step.Seed = rapid.Uint64().Draw(t, "seed")
		step.Pause = time.Duration(rapid.IntRange(0, 12).Draw(t, "pause")) * time.Second
		step.Tasks = rapid.IntRange(0, 9).Draw(t, "tasks")
		step.LongTasks = rapid.Bool().Draw(t, "long")
		step.Cancel = rapid.IntRange(0, 8).Draw(t, "cancel")
		step.Variant = rapid.IntRange(0, 2*len(jobVariants)).Draw(t, "shape")
		step.Dependencies = max(0, rapid.IntRange(-2, 3).Draw(t, "awaits"))
		return step
	})
}

// TestInvariantsHoldUnderRandomFaults runs random scenarios in which two or more faults overlap
// while jobs are submitted, queried and cancelled at any time. A failing scenario is shrunk to a
// short one.
func TestInvariantsHoldUnderRandomFaults(t *testing.T) {
	for fault := range faults {
		checkRandomScenarios(t, fault, func(*randomScenario) {})
	}
}

// checkRandomScenarios runs random scenarios about a fault, in a subtest of its own. prepare changes each
// scenario before its first step.
func checkRandomScenarios(t *testing.T, fault string, prepare func(r *randomScenario)) {
	t.Run(fault, func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			steps := rapid.SliceOfN(drawScenarioStep(fault), 2, 24).Draw(t, "steps")
			runRandomScenario(t, steps, prepare)
		})
	})
}

// randomScenario is a simulated cluster with random faults, and the answers that its users have
// received.
type randomScenario struct {
	*simCluster
	// acceptedJobs are all jobs that were accepted; openJobs are those that must complete, which
	// excludes jobs that may be cancelled.
	openJobs, acceptedJobs []string
	// reportedFinalStates holds the newest final state that was reported to any user of a job.
	reportedFinalStates map[string]string
	// replyHandlers holds, by request, the handlers of the answers that have not arrived yet.
	replyHandlers map[uint64]func(Answer)
	// cancelRequested holds the jobs whose cancellation a user has requested; firstCancelReports
	// holds the times at which a user was first notified that a job is cancelled.
	cancelRequested    map[string]bool
	firstCancelReports map[string]time.Duration
	// cancelAtEndUntil is the time until which jobs are cancelled as their last task completes.
	cancelAtEndUntil time.Duration
	// fractionalAmounts makes the tasks of all jobs take amounts that are no whole numbers.
	fractionalAmounts bool
	// recorder hashes the effects of the controllers.
	recorder *effectRecorder
}

// newRandomScenario returns a scenario with five controllers in two zones, machines of two types
// and two teams with a limit. With mixedVersions, controller c runs the previous version until a
// fault upgrades it.
func newRandomScenario(t tester, mixedVersions bool) *randomScenario {
	cluster := newSimClusterWithSettings(t, fiveNodes, func(s *settings.Settings) {
		s.Params.Teams[1].CPUsMax = 24
		s.Params.State.ValueKB = 2
		s.Params.State.Next = settings.StateLimits{WriteRPS: 30, ValueKB: 1, TxnOps: 5}
	})
	cluster.notUpgraded["c"] = mixedVersions
	if !mixedVersions {
		clear(cluster.notUpgraded)
	}
	cluster.maxMachines, cluster.allowRacingStarts = 60, true
	cluster.types = append(cluster.types, protocol.MachineType{Name: "large", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1, Price: 3, SpotPrice: 1.2,
		BootS: 5, Zones: []string{"z1", "z2"}})
	cluster.twoZones()
	for i := range 60 {
		id := cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), i%3 == 0)
		if i%6 == 5 {
			cluster.workers[id].Type = "large"
		}
	}
	cluster.waitUntilReady().run(10*time.Second, nil)
	r := &randomScenario{simCluster: cluster, reportedFinalStates: map[string]string{}, replyHandlers: map[uint64]func(Answer){}, cancelRequested: map[string]bool{}, firstCancelReports: map[string]time.Duration{}}
	recorder := newEffectRecorder()
	r.recorder = recorder
	cluster.onEffect = func(node string, e Effect) {
		recorder.record(cluster.now, node, e)
		if a, isAnswer := e.(Answer); isAnswer && r.replyHandlers[a.Req] != nil {
			r.replyHandlers[a.Req](a)
			delete(r.replyHandlers, a.Req)
		}
	}
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool { r.cancelEndingJobs(); return false })
	return r
}

// runRandomScenario runs the steps of a scenario and then ends all faults. From what users and
// workers observe, it checks that every invariant holds and that every accepted job is known,
// starts and ends. prepare changes the scenario before its first step.
func runRandomScenario(t tester, steps []scenarioStep, prepare func(r *randomScenario)) {
	r := newRandomScenario(t, len(steps)%4 == 0)
	prepare(r)
	defer r.recorder.finish()
	for n, step := range steps {
		r.rng = rand.New(rand.NewPCG(step.Seed, 23))
		r.submitForEachTeam(n, step)
		faultNamed(step.Fault)(r, r.names[step.Node], r.names[step.Other])
		r.pollRandomJobs()
		r.run(step.Pause, nil)
		if node := r.servingController(); node != "" && step.Cancel > 0 && step.Cancel <= len(r.openJobs) {
			id := r.openJobs[step.Cancel-1]
			checkAnswer := r.answerChecker(id)
			r.expectCancelled(id)
			checkAnswer(r.requestAndWait(node, func(req uint64) Command { return Cancel{Req: req, ID: id} }))
		}
	}
	r.recover()
	r.checkAllAnswered(75 * time.Second)
	r.checkAllStart(4 * time.Minute)
	r.checkNoneWaitsDespiteCapacity(90 * time.Second)
	if !r.run(20*time.Minute, r.allServed) {
		for _, id := range r.openJobs {
			if s, _ := r.state(id); s.State != protocol.Done {
				t.Errorf("%s (%d tasks, %d on machines) did not end within 20m after all faults had ended", id, r.specs[id].Tasks, r.onMachines(id))
			}
		}
	}
	r.checkDependentsEnd()
	for _, id := range r.acceptedJobs {
		if s, _ := r.state(id); s.State == protocol.Done {
			for n := range s.Tasks {
				if task := fmt.Sprintf("%s/%d", id, n); !r.completed[task] {
					t.Errorf("%s is done, but its task %s has not completed", id, task)
				}
			}
		}
	}
}
