package core

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// The page with the heartbeat leaves room in a transaction for the pages that list machines,
// regardless of the limit on value sizes. Otherwise machines would be returned because no reports
// of them seem to arrive while controllers have no connections (docs/incidents/pages.md).
func TestNoMachineIsReturnedWithoutLinksAtAnyValueLimit(t *testing.T) {
	for _, kb := range []float64{4, 16, 32, 64} {
		t.Run(fmt.Sprint(kb), func(t *testing.T) {
			t.Parallel()
			cluster := newSimClusterOf(t, fiveNodes)
			cluster.maxMachines = 30
			for _, cfg := range cluster.cfg {
				cfg.Params.State.ValueKB = kb
			}
			for i := range cluster.maxMachines {
				cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
			}
			cluster.waitUntilReady().run(10*time.Second, nil)
			cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
			requireAccepted(t, cluster.submit("a", "req-free-1", 60, ""))
			cluster.waitUntilStarted("req-free-1", 60)
			names := slices.Sorted(maps.Keys(cluster.workers))
			cluster.disconnectLinks(everyLink)
			cluster.run(40*time.Second, nil)
			if now := slices.Sorted(maps.Keys(cluster.workers)); !slices.Equal(names, now) {
				t.Errorf("of %d machines, %d are left after 40 s without links", len(names), len(now))
			}
			cluster.checkStartedOnce()
		})
	}
}

// Start requests, their outcomes and the free capacity of machines are relayed through the store
// while connections between controllers fail. Otherwise teams could use only the machines that
// their leaders serve themselves.
func TestJobsEndWithoutLinksBetweenControllers(t *testing.T) {
	for name, cut := range map[string]func(cluster *simCluster){
		"refused": func(cluster *simCluster) { cluster.disconnectLinks(everyLink) },
		"slow":    func(cluster *simCluster) { cluster.delayLinks(everyLink) },
		"one way": func(cluster *simCluster) { cluster.disconnectLinks(func(f, t string) bool { return f < t }) },
		"two partitions": func(cluster *simCluster) {
			cluster.disconnectLinks(func(f, t string) bool { return (f < "c") != (t < "c") })
		},
		"no fault": func(cluster *simCluster) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newIdleSimCluster(t, 30)
			requireAccepted(t, cluster.submit("a", "req-free-0", 40, ""))
			cluster.run(2*time.Second, nil)
			cut(cluster)
			cluster.run(5*time.Second, nil)
			ids := []string{"req-free-0"}
			for i, team := range []string{"red", "blue", "free"} {
				id := "req-" + team + "-1"
				requireAccepted(t, cluster.submit(cluster.names[i+1], id, 8, ""))
				ids = append(ids, id)
			}
			if !cluster.run(45*time.Second, cluster.allDone(ids...)) {
				t.Fatal("jobs did not end without links")
			}
			cluster.restoreLinks()
			cluster.run(20*time.Second, nil)
			cluster.checkStartedOnce()
			for key := range cluster.kv {
				if strings.HasPrefix(key, keyRelay) {
					t.Errorf("relay page %s is left after all links were restored", key)
				}
			}
		})
	}
}

// The write of a page is delayed until after newer writes, or until all pages have been deleted
// because the connections are back. No page may be left behind.
func TestLateRelayPageIsDeleted(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.taskTime = 10 * time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-1", 40, ""))
	cluster.waitUntilStarted("req-free-1", 40)
	cluster.lateWrite = func(_ string, e StoreTxn) time.Duration {
		if !strings.HasPrefix(e.Txn.Then[0].Put, keyRelay) || cluster.rng.IntN(3) > 0 {
			return 0
		}
		return time.Duration(2+cluster.rng.IntN(11)) * time.Second
	}
	cluster.disconnectLinks(everyLink)
	cluster.run(20*time.Second, nil)
	cluster.restoreLinks()
	cluster.run(30*time.Second, nil)
	for key := range cluster.kv {
		if strings.HasPrefix(key, keyRelay) {
			t.Errorf("relay page %s is left", key)
		}
	}
	cluster.checkStartedOnce()
}

// Guards against tasks on machines of a controller that may be gone: a page without a heartbeat, read just
// after the start, is no contact with its author, and a heartbeat is none for ever.
func TestRelayPageWithoutHeartbeatIsNoContact(t *testing.T) {
	const machines, heartbeat = `{"m":[]}`, `{"b":{"#":1,"n":"b1.1","v":5}}`
	for name, test := range map[string]struct {
		page    string
		age     time.Duration
		contact bool
	}{
		"machines only":        {page: machines},
		"heartbeat":            {page: heartbeat, contact: true},
		"heartbeat, long ago":  {page: heartbeat, age: time.Minute},
		"machines, long after": {page: machines, age: time.Minute},
	} {
		c := newStartedCore()
		c.members.live["b"] = nodeRecord{Incarnation: "b1"}
		if err := c.relay.onPagePut(protocol.KeyValue{Key: pageKey("b", "0"), Value: []byte(test.page), Version: 6}); err != nil {
			t.Fatal(err)
		}
		c.now.Steady = test.age
		if got := c.peerReachability.hasContact("b"); got != test.contact {
			t.Errorf("%s: got contact %v", name, got)
		}
	}
}
