package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// TestUnusualCatalogsAreHandled uses a team without guarantee or limit, and catalogs with zero
// values. It checks that jobs that fit some machine run, that others are rejected, and that no
// controller crashes.
func TestUnusualCatalogsAreHandled(t *testing.T) {
	base := protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"z1", "z2"}}
	for name, tc := range map[string]struct {
		change func(m *protocol.MachineType)
		gang   int // expected status for a gang that needs GPUs
	}{
		"default":   {func(*protocol.MachineType) {}, http.StatusUnprocessableEntity},
		"GPUs":      {func(m *protocol.MachineType) { m.CPUs, m.GPUs, m.MemoryGB = 16, 4, 64 }, http.StatusCreated},
		"no prices": {func(m *protocol.MachineType) { m.Price, m.SpotPrice = 0, 0 }, http.StatusUnprocessableEntity},
		"no cache":  {func(m *protocol.MachineType) { m.CacheGB, m.FetchGBPS, m.BootS = 0, 0, 0 }, http.StatusUnprocessableEntity},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newSimClusterOf(t, fiveNodes)
			cluster.allowRacingStarts, cluster.taskTime = true, 5*time.Second
			m := base
			tc.change(&m)
			cluster.types = []protocol.MachineType{m}
			for _, n := range cluster.names {
				cluster.cfg[n].Params.Teams = []settings.Team{{Name: "free"}}
				cluster.cores[n] = New(cluster.cfg[n], settings.DefaultPolicy(), n+"9")
				cluster.sendSnapshotWhenReachable(n)
			}
			for i := range 8 {
				cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
			}
			cluster.run(8*time.Second, nil)
			requireAccepted(t, cluster.submit("a", "req-free-1", 20, ""))
			requireAccepted(t, cluster.submit("b", "req-free-2", 2, serviceFields))
			if got := cluster.submit("c", "req-free-3", 1, gangFields).Status; got != tc.gang {
				t.Errorf("submission of a gang: got status %d", got)
			}
			if got := cluster.submit("d", "req-free-4", 1, `,"vcpus":400.0`).Status; got != http.StatusUnprocessableEntity {
				t.Errorf("submission of a job that fits no machine: got status %d", got)
			}
			cluster.run(40*time.Second, nil)
			if cluster.startsOf("req-free-1") < 20 || cluster.startsOf("req-free-2") < 2 || tc.gang == http.StatusCreated && cluster.startsOf("req-free-3") < 1 {
				t.Errorf("started %d tasks of the array, %d of the service, %d of the gang", cluster.startsOf("req-free-1"), cluster.startsOf("req-free-2"), cluster.startsOf("req-free-3"))
			}
		})
	}
}
