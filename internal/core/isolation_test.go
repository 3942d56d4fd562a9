package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/settings"
)

// One, two, or all but one controllers lose the store and all peers but not their workers. They
// redirect the workers, so that no machine is returned and no task is lost.
func TestIsolatedControllerRedirectsItsWorkers(t *testing.T) {
	for _, isolated := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(isolated), func(t *testing.T) {
			t.Parallel()
			cluster := newGPUSimCluster(t, 30, 0)
			cluster.taskTime = 10 * time.Minute
			requireAccepted(t, cluster.submit("a", "req-free-1", 60, ""))
			cluster.waitUntilStarted("req-free-1", 60)
			for _, n := range cluster.names[:isolated] {
				cluster.cutStore(n)
				cluster.disconnectLinks(func(f, t string) bool { return f == n || t == n })
				cluster.checkRejectsUsers(n) // before it has noticed the loss
				cluster.send(n, StoreHealth{})
			}
			cluster.run(40*time.Second, nil)
			for _, n := range cluster.names[:isolated] {
				cluster.checkRejectsUsers(n)
			}
			if n := cluster.onMachines("req-free-1"); len(cluster.workers) != 30 || n != 60 {
				t.Errorf("%d of 30 machines and %d of 60 tasks are left", len(cluster.workers), n)
			}
			cluster.heal()
			cluster.run(20*time.Second, nil)
			cluster.checkStartedOnce()
		})
	}
}

// Workers in a partitioned zone must not be redirected, because they can reach no other
// controller.
func TestNoRedirectInAPartitionedZone(t *testing.T) {
	c := New(testSettings("a"), settings.DefaultPolicy(), "a1")
	c.replica.loaded, c.storeOK = true, false
	c.now.Steady = time.Minute
	c.checkIsolation()
	c.now.Steady += 5 * time.Second
	redirected := func(machine, zone string) bool {
		return c.isolation.redirectOnce(machine, zone, c.now.Steady, c.reportInterval())
	}
	for range 3 {
		if redirected("vm-1", "z1") {
			t.Fatal("worker was redirected although no other zone reports")
		}
	}
	if !redirected("vm-2", "z2") || redirected("vm-2", "z2") || !redirected("vm-1", "z1") {
		t.Error("workers were not redirected exactly once each while two zones report")
	}
	c.storeOK = true
	c.checkIsolation()
	if redirected("vm-3", "z1") {
		t.Error("worker was redirected although the store is back")
	}
}
