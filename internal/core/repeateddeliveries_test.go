package core

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// furtherFaults are faults that only some tests draw. They are apart from faults so that recorded seeds
// draw the same scenarios as before.
var furtherFaults = map[string]func(r *randomScenario, node, other string){
	"repeated commands": func(r *randomScenario, _, _ string) { r.repeatDeliveries = true },
	"faulty machines": func(r *randomScenario, _, _ string) {
		r.forRandomMachines(6, func(id string) { r.faulty[id] = true })
		r.after(20*time.Second, func() { clear(r.faulty) })
	},
}

// faultNamed returns the fault with the given name.
func faultNamed(name string) func(r *randomScenario, node, other string) {
	if fault := furtherFaults[name]; fault != nil {
		return fault
	}
	if refused := startedLinkFaults[name]; refused != nil {
		return func(r *randomScenario, node, _ string) { r.cancelAtStartedController(node, refused) }
	}
	return faults[name]
}

// faultsWithRepeats are the faults that scenarios with repeated messages are about.
var faultsWithRepeats = []string{
	"repeated commands", "faulty machines", "one ends", "one is back at once", "all end and one is back", "handed over and back",
	"leaders change", "machines hang", "held commands", "deaf to one", "mute machines", "an outage", "cancelled now", "all links slow",
}

// checkScenariosWithRepeats runs random scenarios about each of faultsWithRepeats.
func checkScenariosWithRepeats(t *testing.T, prepare func(r *randomScenario)) {
	for _, fault := range faultsWithRepeats {
		checkRandomScenarios(t, fault, prepare)
	}
}

// Guards against copies of deliveries that start a task once more, whatever other faults there are.
func TestInvariantsHoldUnderRepeatedDeliveries(t *testing.T) {
	checkScenariosWithRepeats(t, func(r *randomScenario) { r.repeatDeliveries = true })
}

// Guards against late copies of all else that controllers send: messages to each other, transactions,
// rentals and releases.
func TestInvariantsHoldUnderRepeatedMessages(t *testing.T) {
	checkScenariosWithRepeats(t, func(r *randomScenario) { r.repeatDeliveries, r.repeatMessages = true, true })
}

// recordDeliveries returns a function that makes a copy of every delivery made since arrive now.
func (cluster *simCluster) recordDeliveries() (repeatAll func()) {
	var deliveries []Deliver
	cluster.onEffect = func(_ string, e Effect) {
		if delivery, ok := e.(Deliver); ok {
			deliveries = append(deliveries, delivery)
		}
	}
	return func() {
		for _, delivery := range deliveries {
			cluster.deliverCopyAt(cluster.now, delivery)
		}
	}
}

// failTasksOn makes all tasks that run on a machine fail now.
func (cluster *simCluster) failTasksOn(id string) {
	cluster.faulty[id] = true
	f := cluster.workers[id]
	for attempt := range f.running {
		f.running[attempt] = cluster.now
	}
	cluster.stepWorkers()
	delete(cluster.faulty, id)
}

// machinesOf returns the machines that tasks of a job run on.
func (cluster *simCluster) machinesOf(id string) (machines []string) {
	for _, machine := range slices.Sorted(maps.Keys(cluster.workers)) {
		if cluster.tasksOn([]string{machine}) > 0 && strings.HasPrefix(cluster.workers[machine].Tasks[0].Task, id+"/") {
			machines = append(machines, machine)
		}
	}
	return machines
}

// Guards against a task on two machines: it fails on one and runs on another, and a late copy of its
// first start command arrives after the first machine was told to forget it.
func TestRepeatedStartDoesNotStartForgottenTask(t *testing.T) {
	const id, tasks = "req-free-1", 4
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime, cluster.cloudDegraded = 5*time.Minute, true // no machine is returned
	repeatAll := cluster.recordDeliveries()
	requireAccepted(t, cluster.submit("a", id, tasks, ""))
	cluster.waitUntilStarted(id, tasks)
	cluster.run(reportIntervals(2), nil)
	cluster.failTasksOn(cluster.machinesOf(id)[0])
	failed := tasks - cluster.onMachines(id)
	if failed == 0 || !cluster.run(30*time.Second, func() bool { return cluster.forgotten == failed }) {
		t.Fatalf("%d of %d failed tasks were forgotten", cluster.forgotten, failed)
	}
	cluster.waitUntilStarted(id, tasks)
	repeatAll()
	cluster.run(3*time.Second, nil) // the simulation checks every start
	if n := cluster.onMachines(id); n != tasks {
		t.Errorf("%d tasks are on machines, want %d", n, tasks)
	}
}
