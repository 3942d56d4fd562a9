package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// fleetSizes are the numbers of machines that the benchmarks run with.
var fleetSizes = []int{100, 1400, 2800}

// newBusyCore returns a core that leads every team, with one running task on each machine and one
// job per ten machines.
func newBusyCore(machines int) *Core {
	c := New(testSettings("a"), settings.DefaultPolicy(), "x")
	c.now.Steady, c.replica.loaded, c.agents.tokens.current = time.Second, true, 1
	c.handleCatalog(CatalogReceived{Types: []protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50}}})
	for _, t := range c.teams {
		t.leading, t.leader, t.version, t.CPUsMax = true, "a", 1, 0
	}
	var j *job.Job
	for n := range machines {
		if n%10 == 0 {
			t := c.teams[n/10%len(c.teams)]
			j = job.New(job.Spec{ID: fmt.Sprintf("req-%d", n), Team: t.Name, Tasks: 10, Need: job.Resources{CPUs: 2, MemoryGB: 1}, Image: "i"}, 64, 0)
			j.Version = 1
			c.addJob(t, j)
		}
		r := benchReport(n, j.TaskID(n%10))
		j.Bind(n%10, &job.Binding{Machine: r.Machine, Attempt: 1, Token: 1, Epoch: 1, Stored: true, Sent: true})
		c.applyObservation(Observation{Node: "a", Token: 1, Report: r})
		c.agents.add(r.Machine, newAgentSession(1, 1, ""))
	}
	for _, j := range c.jobs {
		j.TakeChunkWrites(1) // everything is stored
	}
	return c
}

// benchReport returns the report of machine n, which runs one task.
func benchReport(n int, task string) protocol.Report {
	return protocol.Report{Machine: fmt.Sprintf("vm-%06d", n), Type: "small", Zone: "z1", Spot: true, WorkerEpoch: 1, Seq: 1, Token: 1,
		Tasks: []protocol.TaskReport{{Task: task, Attempt: 1, State: protocol.Running}}}
}

// benchmarkFleetSizes runs a benchmark on a busy core of each fleet size.
func benchmarkFleetSizes(b *testing.B, f func(b *testing.B, c *Core, machines int)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newBusyCore(n)
			b.ReportAllocs()
			f(b, c, n)
		})
	}
}

// BenchmarkReport measures handling one worker's report. Consecutive reports of a machine alternate
// between two fencing tokens.
func BenchmarkReport(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, machines int) {
		for n := 0; b.Loop(); n++ {
			r := c.machines.Get(c.machines.Names()[n%machines]).Report
			r.Seq++
			r.Token = 1 + uint64(n/machines%2)
			c.agents.session(r.Machine).token = 2
			c.effects, c.pendingObservations = nil, nil
			c.handle(Heartbeat{Req: 1, Report: r})
		}
	})
}

// BenchmarkRound measures one scheduling round with capacity for some of the pending tasks.
func BenchmarkRound(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, _ int) {
		t := c.teams[0]
		t.leading = false // tasks of a team that is led elsewhere are placed but not bound, so all rounds are alike
		for n := range 10 {
			j := job.New(job.Spec{ID: fmt.Sprintf("req-9%d", n), Team: t.Name, Tasks: 20, Need: job.Resources{CPUs: 2}, Spot: true}, 64, 0)
			j.Version = 1
			c.addJob(t, j)
		}
		for b.Loop() {
			c.now.Steady += time.Nanosecond
			c.scheduler.roundRequested, c.scheduler.nextRoundAt, c.effects = true, 0, nil
			c.schedule()
		}
	})
}

// BenchmarkStoreReply measures writing one job and handling the store's reply.
func BenchmarkStoreReply(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, _ int) {
		j := c.jobs["req-0"]
		for b.Loop() {
			c.effects = nil
			j.MarkDirty(0)
			c.writer.flushJob(c.teamsByName[j.Team], j)
			c.handle(StoreReply{ID: c.ids.last, Outcome: OutcomeApplied, Revision: 2})
		}
	})
}

// BenchmarkManySmallJobs measures a scheduling round and the writes of jobs while many small jobs
// wait for free capacity, or for their bindings to be stored.
func BenchmarkManySmallJobs(b *testing.B) {
	addSmallJobs := func(c *Core, bindTasks bool) {
		t := c.teams[0]
		for n := range 800 {
			j := job.New(job.Spec{
				ID:       fmt.Sprintf("req-9%d", n),
				Team:     t.Name,
				Tasks:    1,
				Priority: 3,
				Need:     job.Resources{CPUs: 2.5},
				Spot:     true,
			}, 64, 0)
			j.Version = 1
			c.addJob(t, j)
			if bindTasks {
				j.Bind(0, &job.Binding{Machine: c.machines.Names()[n%len(c.machines.Names())], Attempt: 1, Token: 1, Epoch: 1})
				j.Urgent = true
			}
		}
	}
	for name, bindTasks := range map[string]bool{"room": false, "changes": true} {
		b.Run(name, func(b *testing.B) {
			c := newBusyCore(240)
			addSmallJobs(c, bindTasks)
			for b.Loop() {
				c.now.Steady += time.Nanosecond
				c.scheduler.roundRequested, c.scheduler.nextRoundAt, c.effects = true, 0, nil
				c.writer.budget.refilledAt, c.writer.budget.available, c.writer.budget.pausedUntil = c.now.Steady, 0, 0
				c.schedule()
				c.writer.flushJobs()
			}
		})
	}
}

// BenchmarkMixedRound measures one scheduling round with services, gangs and large arrays on two
// types of machines. All machines are full, and jobs of each kind wait.
func BenchmarkMixedRound(b *testing.B) {
	for _, machines := range fleetSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			c := mixedCore(machines)
			b.ReportAllocs()
			for b.Loop() {
				c.now.Steady += time.Second
				for _, m := range c.machines.All() {
					c.machines.RecordContact(m, false, c.now.Steady)
				}
				c.scheduler.roundRequested, c.scheduler.nextRoundAt, c.effects, c.scheduler.claims = true, 0, nil, nil
				c.schedule()
			}
		})
	}
}

// mixedCore returns a core whose machines are full of array and service tasks. One machine in ten
// has GPUs and runs a gang's task.
func mixedCore(machines int) *Core {
	c := New(testSettings("a"), settings.DefaultPolicy(), "x")
	c.now.Steady, c.replica.loaded, c.agents.tokens.current = time.Second, true, 1
	c.handleCatalog(CatalogReceived{Types: []protocol.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 64, CacheGB: 50, Price: 1, SpotPrice: 0.4},
		{Name: "large", CPUs: 48, GPUs: 8, MemoryGB: 288, CacheGB: 50, Price: 20, SpotPrice: 8}}})
	t := c.teams[2]
	t.leading, t.leader, t.version = true, "a", 1
	newJob := func(id string, kind job.Kind, class string, tasks, priority int, need job.Resources) *job.Job {
		j := job.New(job.Spec{ID: id, Team: t.Name, Class: class, Kind: kind, Tasks: tasks, Priority: priority, Need: need, Image: id, ImageGB: 1,
			EstimateS: 30, Spot: kind == job.Array, Spread: kind == job.Service, OneZone: kind == job.Gang}, 512, 0)
		j.Version = 1
		c.addJob(t, j)
		return j
	}
	services := []*job.Job{}
	for n := range 6 {
		services = append(services, newJob(fmt.Sprint("req-s", n), job.Service, "watch", machines, 0, job.Resources{CPUs: 4, MemoryGB: 30}))
	}
	array := newJob("req-a0", job.Array, "batch", 20*machines, 2, job.Resources{CPUs: 1, MemoryGB: 6})
	gang := newJob("req-g0", job.Gang, "train", machines, 1, job.Resources{CPUs: 43, GPUs: 8, MemoryGB: 230})
	for n := range machines {
		r := benchReport(n, "")
		r.Zone, r.Spot, r.Tasks = fmt.Sprint("z", 1+n%2), n%3 == 0, nil
		place := func(j *job.Job, i int) {
			j.Bind(i, &job.Binding{Machine: r.Machine, Attempt: 1, Token: 1, Epoch: 1, Stored: true, Sent: true})
			r.Tasks = append(r.Tasks, protocol.TaskReport{Task: j.TaskID(i), Attempt: 1, State: protocol.Running})
		}
		switch {
		case n%10 == 0:
			r.Type, r.Spot = "large", false
			place(gang, n)
		case r.Spot:
			for i := range 8 {
				place(array, 8*n+i)
			}
		default:
			place(services[n%6], n)
			for i := range 4 {
				place(array, 8*n+i)
			}
		}
		c.applyObservation(Observation{Node: "a", Token: 1, Report: r})
	}
	for n := range 20 {
		newJob(fmt.Sprint("req-w", n), job.Service, "watch", 6, 0, job.Resources{CPUs: 4, MemoryGB: 30})
		newJob(fmt.Sprint("req-b", n), job.Array, "batch", 500, 2, job.Resources{CPUs: 1, MemoryGB: 6})
		newJob(fmt.Sprint("req-h", n), job.Gang, "train", 1+n%8, 1, job.Resources{CPUs: 43, GPUs: 8, MemoryGB: 230})
	}
	return c
}

// BenchmarkReload measures loading a snapshot of the store, as after a start or when the store no
// longer has the changes that a watch missed. The snapshot has one job per ten machines and as many
// cordons of terminated machines.
func BenchmarkReload(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, machines int) {
		snapshot := SnapshotLoaded{Revision: 2}
		for id, j := range c.jobs {
			snapshot.Items = append(snapshot.Items, protocol.KeyValue{Key: jobKey(id), Value: j.Head(), Version: 2})
		}
		for n := range machines / 10 {
			snapshot.Items = append(snapshot.Items, protocol.KeyValue{Key: fmt.Sprintf("%svm-9%05d", keyCordon, n), Value: mustjson.Marshal(cordonRecord{Terminated: true}), Version: 2})
		}
		for b.Loop() {
			fresh := New(c.cfg, settings.DefaultPolicy(), "y")
			fresh.handle(snapshot)
			if len(fresh.jobs) != len(c.jobs) {
				b.Fatalf("loaded %d jobs, want %d", len(fresh.jobs), len(c.jobs))
			}
		}
	})
}

// BenchmarkHugeArray measures one scheduling round with a pending array of 100,000 tasks and a
// half-empty fleet. A round binds tasks on at most as many machines as one write may have conditions
// on, so its time grows with the fleet and not with the array.
func BenchmarkHugeArray(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, _ int) {
		s := job.Spec{ID: "req-9", Team: c.teams[0].Name, Tasks: job.MaxTasks, Need: job.Resources{CPUs: 1}, Spot: true, EstimateS: 10}
		for b.Loop() {
			b.StopTimer()
			j := job.New(s, c.limits.defaultChunkSize(), 0)
			j.Version = 1
			c.addJob(c.teams[0], j)
			c.now.Steady += time.Nanosecond
			c.scheduler.roundRequested, c.scheduler.nextRoundAt, c.effects, c.scheduler.claims = true, 0, nil, nil
			b.StartTimer()
			c.schedule()
			b.StopTimer()
			if len(j.Bound) == 0 {
				b.Fatal("no task was placed")
			}
			c.forgetJob(j)
			b.StartTimer()
		}
	})
}

// BenchmarkLongReport measures handling a report of about the maximum request size: the machine is
// full of tiny tasks, one of which has changed its state since the last report.
func BenchmarkLongReport(b *testing.B) {
	c := newBusyCore(100)
	r := benchReport(0, "")
	j := job.New(job.Spec{ID: "req-9", Team: c.teams[0].Name, Tasks: 600, Need: job.Resources{CPUs: 0.001}}, c.limits.defaultChunkSize(), 0)
	j.Version = 1
	c.addJob(c.teams[0], j)
	for r.Tasks = nil; len(r.Tasks) < 600; {
		i := len(r.Tasks)
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: j.TaskID(i), Attempt: 1, State: protocol.Running})
		j.Bind(i, &job.Binding{Machine: r.Machine, Attempt: 1, Token: 1, Epoch: 1, Stored: true, Sent: true})
	}
	states := []string{protocol.Running, "pulling"}
	for n := 0; b.Loop(); n++ {
		r.Seq++
		r.Tasks = slices.Clone(r.Tasks)
		r.Tasks[n%600].State = states[n/600%2]
		c.effects, c.pendingObservations = nil, nil
		c.handle(Heartbeat{Req: 1, Report: r})
	}
}

// BenchmarkSubmissions measures handling 500 submissions in one step.
func BenchmarkSubmissions(b *testing.B) {
	c := newBusyCore(1400)
	var commands []Command
	for n := range 500 {
		commands = append(commands, Submit{Req: uint64(n + 1), Body: []byte(submission(fmt.Sprintf("req-8%05d", n), "free", 30, ""))})
	}
	b.ReportAllocs()
	for b.Loop() {
		c.effects = nil
		clear(c.pendingReplies)
		for _, cmd := range commands {
			c.handle(cmd)
		}
		if len(c.effects) != len(commands) {
			b.Fatalf("got %d effects, want one per submission", len(c.effects))
		}
	}
}

// BenchmarkInventory measures handling the cloud's list of all machines and reconciling the fleet
// with it, as the fleet leader does.
func BenchmarkInventory(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, _ int) {
		c.fleet.leading = true
		c.autoscaler.reset(0)
		var inventory InventoryReceived
		for _, id := range c.machines.Names() {
			inventory.Machines = append(inventory.Machines, protocol.ListedMachine{ID: id, Type: "small", Zone: "z1", Spot: true, State: protocol.Running, AgeS: 60})
		}
		for b.Loop() {
			c.effects = nil
			c.handleInventory(inventory)
			c.reconcileInventory()
		}
		if len(c.autoscaler.returnReasons) > 0 {
			b.Fatal("got machines to return to the cloud, want none")
		}
	})
}
