package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

const (
	forgetTestJob   = "req-free-1"
	forgetTestTasks = 4
)

// taskEnding makes tasks of forgetTestJob exit. Its reason is what the workers report.
type taskEnding struct {
	reason string
	// fields are the further fields of the submission.
	fields string
	// rejects is set if workers reject the starts, so that the tasks never run.
	rejects bool
	end     func(cluster *simCluster)
}

// endRunningTasks makes all tasks end now.
func (cluster *simCluster) endRunningTasks() {
	for _, f := range cluster.workers {
		for attempt := range f.running {
			f.running[attempt] = cluster.now
		}
	}
}

var (
	serviceTestFields = `,"shape":"service","guessS":0.0,"dueS":null`
	gangTestFields    = `,"shape":"group"`
	cancelTestJob     = func(cluster *simCluster) {
		cluster.send(cluster.nodeWithStore(), Cancel{Req: 1 << 40, ID: forgetTestJob})
	}
	failFirst     = func(cluster *simCluster) { cluster.failTasksOn(cluster.machinesOf(forgetTestJob)[0]) }
	loseFirst     = func(cluster *simCluster) { delete(cluster.workers, cluster.machinesOf(forgetTestJob)[0]) }
	startAccepted = func(cluster *simCluster) { cluster.rejection = nil }
)

var taskEndings = map[string]taskEnding{
	"array done":        {reason: protocol.ExitDone, end: (*simCluster).endRunningTasks},
	"array failed":      {reason: protocol.ExitError, end: failFirst},
	"array cancelled":   {reason: protocol.ExitStopped, end: cancelTestJob},
	"service failed":    {reason: protocol.ExitError, fields: serviceTestFields, end: failFirst},
	"service cancelled": {reason: protocol.ExitStopped, fields: serviceTestFields, end: cancelTestJob},
	"gang done":         {reason: protocol.ExitDone, fields: gangTestFields, end: (*simCluster).endRunningTasks},
	"gang broken":       {reason: exitMatesGone, fields: gangTestFields, end: loseFirst},
	"gang incomplete": {reason: exitAlone, fields: gangTestFields, rejects: true, end: func(cluster *simCluster) {
		cluster.run(35*time.Second, nil) // longer than gang_wait_s
		cluster.rejection = nil
	}},
	"no capacity":  {reason: protocol.ExitNoCapacity, rejects: true, end: startAccepted},
	"busy":         {reason: protocol.ExitBusy, rejects: true, end: startAccepted},
	"unknown task": {reason: protocol.ExitUnknownTask, rejects: true, end: startAccepted},
}

// forgetPaths are the ways in which the command to forget an exited task reaches its worker. Each is
// prepared before the task exits.
var forgetPaths = map[string]func(cluster *simCluster){
	"answer to a report": func(*simCluster) {},
	"delivery": func(cluster *simCluster) {
		cluster.stopReportsOfEvery(1)
	},
	"for an unreachable leader": func(cluster *simCluster) { cluster.disconnectLinks(everyLink) },
	"another controller": func(cluster *simCluster) {
		cluster.after(time.Second, func() {
			for _, node := range cluster.controllersOf(forgetTestJob) {
				cluster.crash(node)
				cluster.expire(node)
			}
		})
	},
	"restarted controllers": func(cluster *simCluster) {
		cluster.after(time.Second, func() {
			for _, node := range cluster.names {
				cluster.restartImmediately(node)
			}
		})
	},
}

// controllersOf returns the controllers, at most two, that the machines of a job report to.
func (cluster *simCluster) controllersOf(id string) (nodes []string) {
	for _, machine := range cluster.machinesOf(id) {
		node := cluster.names[cluster.workers[machine].node%len(cluster.names)]
		if len(nodes) < 2 && cluster.cores[node] != nil && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// machineNames returns the names of all machines.
func (cluster *simCluster) machineNames() []string { return slices.Sorted(maps.Keys(cluster.workers)) }

// rejectOnHalf makes every second machine reject all starts.
func (cluster *simCluster) rejectOnHalf(reason string) {
	cluster.rejection = func(machine string) string {
		if machine[len(machine)-1]%2 == 0 {
			return reason
		}
		return ""
	}
}

// recordExitReasons returns the set of reasons that exited tasks are reported with from now on.
func (cluster *simCluster) recordExitReasons() map[string]bool {
	reasons := map[string]bool{}
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		for _, f := range cluster.workers {
			for _, t := range f.Tasks {
				if t.State == protocol.Exited {
					reasons[t.ExitReason] = true
				}
			}
		}
		return false
	})
	return reasons
}

// exitedTasks counts the exited tasks that workers still report.
func (cluster *simCluster) exitedTasks() (n int) {
	for _, f := range cluster.workers {
		for _, t := range f.Tasks {
			if t.State == protocol.Exited {
				n++
			}
		}
	}
	return n
}

// totalStarts counts the starts of all tasks.
func (cluster *simCluster) totalStarts() (n int) {
	for _, starts := range cluster.starts {
		n += starts
	}
	return n
}

// Guards against a task that starts again after its end, by a copy of its start command, whatever its
// end was and whichever way the worker was told to forget it.
func TestCopiesOfStartsHaveNoEffectAfterTasksAreForgotten(t *testing.T) {
	for path, prepare := range forgetPaths {
		for name, ending := range taskEndings {
			if ending.rejects && path != "answer to a report" {
				continue // nothing runs that the other paths could be prepared for
			}
			t.Run(fmt.Sprintf("%s, %s", name, path), func(t *testing.T) {
				t.Parallel()
				checkCopiesAfterEnding(t, ending, prepare)
			})
		}
	}
}

func checkCopiesAfterEnding(t *testing.T, ending taskEnding, prepare func(cluster *simCluster)) {
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime, cluster.cloudDegraded, cluster.allowRacingStarts = 5*time.Minute, true, true // no machine is returned
	repeatAll := cluster.recordDeliveries()
	if ending.rejects {
		cluster.rejectOnHalf(ending.reason)
	}
	reasons := cluster.recordExitReasons()
	requireAccepted(t, cluster.submit("a", forgetTestJob, forgetTestTasks, ending.fields))
	if ending.rejects {
		cluster.run(15*time.Second, func() bool { return reasons[ending.reason] })
	} else {
		cluster.waitUntilStarted(forgetTestJob, forgetTestTasks)
		cluster.run(reportIntervals(2), nil)
		prepare(cluster)
	}
	ending.end(cluster)
	forgotten := func() bool {
		return cluster.exitedTasks() == 0 && (cluster.forgotten > 0 || cluster.anyNewWorkerEpoch(cluster.machineNames()))
	}
	cluster.run(time.Second, nil)
	if !cluster.run(90*time.Second, forgotten) || !reasons[ending.reason] {
		t.Fatalf("%d exited tasks are still reported, %d were forgotten, with the reasons %v", cluster.exitedTasks(), cluster.forgotten, reasons)
	}
	cluster.run(30*time.Second, nil) // tasks that have to run again have started
	before := cluster.totalStarts()
	repeatAll()
	cluster.run(5*time.Second, nil)
	if after := cluster.totalStarts(); after != before {
		t.Errorf("%d tasks were started by copies", after-before)
	}
}

// mostExitedTasks runs the simulation and returns the largest number of exited tasks that any worker
// reported at a time, and the largest encoded size of a task list.
func (cluster *simCluster) mostExitedTasks(d time.Duration) (tasks, bytes int) {
	cluster.run(d, func() bool {
		for _, f := range cluster.workers {
			exited, size := 0, 0
			for _, t := range f.Tasks {
				size += protocol.MaxTaskReportBytes(t.Task)
				if t.State == protocol.Exited {
					exited++
				}
			}
			tasks, bytes = max(tasks, exited), max(bytes, size)
		}
		return false
	})
	return tasks, bytes
}

// Guards against exited tasks that pile up in reports, or that take room, while the state service is
// unavailable and no token can be acquired.
func TestExitedTasksAreBoundedDuringOutage(t *testing.T) {
	const tasksOnMachine = 2 // tasks of two CPUs on machines of four
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = 20 * time.Second
	requireAccepted(t, cluster.submit("a", forgetTestJob, 10*tasksOnMachine, ""))
	cluster.waitUntilStarted(forgetTestJob, 10*tasksOnMachine)
	cluster.outage = true
	if exited, _ := cluster.mostExitedTasks(10 * time.Minute); exited > tasksOnMachine {
		t.Errorf("a worker reports %d exited tasks, want at most those that ran when the outage began, %d", exited, tasksOnMachine)
	}
	cluster.endOutage()
	if !cluster.run(30*time.Second, func() bool { return cluster.exitedTasks() == 0 }) {
		t.Errorf("%d exited tasks are still reported half a minute after the outage", cluster.exitedTasks())
	}
	cluster.checkStartedOnce()
}

// Guards against reports that grow, and tokens that use up the store's changes, where tasks are short: a
// machine with hundreds of ends a minute.
func TestReportsStaySmallWhereTasksAreShort(t *testing.T) {
	const (
		machines       = 5
		smallReport    = 16 << 10 // a quarter of the largest report
		endsPerMinute  = 200
		tokensAMinute  = 30 / forgetTokenIntervals // a minute has thirty report intervals
		coldTokens     = 2                         // a token is in flight, and another one may have been due
		minutesOfLoad  = 2
		tasksOfEachJob = 40
	)
	cluster := newIdleSimCluster(t, machines)
	cluster.taskTime = 4 * time.Second
	tokensBefore, maxBytes := len(cluster.tokenOwners), 0
	before := cluster.totalStarts()
	for n := range minutesOfLoad * 60 / 2 {
		requireAccepted(t, cluster.submit("a", fmt.Sprintf("req-free-%d", n), tasksOfEachJob, `,"vcpus":0.1,"memoryGb":0.1`))
		_, bytes := cluster.mostExitedTasks(2 * time.Second)
		maxBytes = max(maxBytes, bytes)
	}
	ends := (cluster.totalStarts() - before) / machines / minutesOfLoad
	if ends < endsPerMinute {
		t.Fatalf("%d tasks a minute ended on each machine, want %d", ends, endsPerMinute)
	}
	if maxBytes > smallReport {
		t.Errorf("a task list has up to %d bytes, want at most %d", maxBytes, smallReport)
	}
	limit := len(cluster.names) * (minutesOfLoad*tokensAMinute + coldTokens)
	if tokens := len(cluster.tokenOwners) - tokensBefore; tokens > limit {
		t.Errorf("%d tokens were acquired, want at most %d", tokens, limit)
	} else {
		t.Logf("%d ends a minute on each machine, task lists of up to %d bytes, %d tokens, %d forgotten", ends, maxBytes, tokens, cluster.forgotten)
	}
}

// Guards against exited tasks that pile up on the machines of a controller that alone is without the
// state service, while others go on to bind tasks to these machines.
func TestWorkersGetTokensElsewhereIfTheirControllerHasNoStore(t *testing.T) {
	const smallReport = 16 << 10 // a quarter of the largest report
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime, cluster.cloudDegraded = 4*time.Second, true
	maxBytes := 0
	for n := range 150 {
		submitTo := cluster.nodeWithStore()
		id := fmt.Sprintf("req-free-%d", n)
		cluster.send(submitTo, Submit{Req: uint64(1<<40 + n), Body: []byte(submission(id, "free", 40, `,"vcpus":0.1,"memoryGb":0.1`))})
		_, bytes := cluster.mostExitedTasks(2 * time.Second)
		maxBytes = max(maxBytes, bytes)
		if n == 10 {
			cluster.cutStore(cluster.controllersOf("req-free-9")[0])
		}
	}
	if maxBytes > smallReport {
		t.Errorf("a task list has up to %d bytes, want at most %d", maxBytes, smallReport)
	}
	t.Logf("task lists of up to %d bytes, %d starts", maxBytes, cluster.totalStarts())
}

// Guards against tokens that use up the changes of a store that allows few.
func TestTokensToForgetTakeSmallShareOfChanges(t *testing.T) {
	const writeRPS, seconds, otherTokensOfEach = 5, 120, 2
	cluster := newSimClusterWithSettings(t, fiveNodes, func(s *settings.Settings) { s.Params.State.WriteRPS = writeRPS })
	cluster.maxMachines, cluster.taskTime = 20, 3*time.Second
	for i := range cluster.maxMachines {
		cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
	}
	cluster.waitUntilReady()
	requireAccepted(t, cluster.submit("a", forgetTestJob, 4000, ""))
	cluster.run(10*time.Second, nil)
	before := len(cluster.tokenOwners)
	cluster.run(seconds*time.Second, nil)
	limit := int(forgetTokenShare*writeRPS*seconds) + otherTokensOfEach*len(cluster.names)
	if tokens := len(cluster.tokenOwners) - before; tokens > limit || cluster.forgotten == 0 {
		t.Errorf("%d tokens were acquired and %d tasks forgotten, want at most %d tokens", tokens, cluster.forgotten, limit)
	}
}
