package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// TestUnusualSettingsAndCatalogsAreServedOrRejected has one team with nothing, and catalogs with
// figures of nothing: what fits is served, the rest rejected, and no controller ends.
func TestUnusualSettingsAndCatalogsAreServedOrRejected(t *testing.T) {
	plain := protocol.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 50, FetchGBPS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"z1", "z2"}}
	for name, c := range map[string]struct {
		change func(m *protocol.MachineType)
		gang   int // the answer to a gang with accelerators
	}{
		"as usual":     {func(*protocol.MachineType) {}, http.StatusUnprocessableEntity},
		"accelerators": {func(m *protocol.MachineType) { m.CPUs, m.GPUs, m.MemoryGB = 16, 4, 64 }, http.StatusCreated},
		"no prices":    {func(m *protocol.MachineType) { m.Price, m.SpotPrice = 0, 0 }, http.StatusUnprocessableEntity},
		"no cache":     {func(m *protocol.MachineType) { m.CacheGB, m.FetchGBPS, m.BootS = 0, 0, 0 }, http.StatusUnprocessableEntity},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorldOf(t, fiveNodes)
			w.allowRacingStarts, w.taskTime = true, 5*time.Second
			m := plain
			c.change(&m)
			w.types = []protocol.MachineType{m}
			for _, n := range w.names {
				w.cfg[n].Params.Teams = []settings.Team{{Name: "free"}}
				w.cores[n] = New(w.cfg[n], settings.DefaultPolicy(), n+"9")
				w.load(n)
			}
			for i := range 8 {
				w.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
			}
			w.run(8*time.Second, nil)
			accepted(t, w.submit("a", "req-free-1", 20, ""))
			accepted(t, w.submit("b", "req-free-2", 2, serviceFields))
			if got := w.submit("c", "req-free-3", 1, gangFields).Status; got != c.gang {
				t.Errorf("a gang gets %d", got)
			}
			if got := w.submit("d", "req-free-4", 1, `,"vcpus":400.0`).Status; got != http.StatusUnprocessableEntity {
				t.Errorf("what fits nowhere gets %d", got)
			}
			w.run(40*time.Second, nil)
			if w.startsOf("req-free-1") < 20 || w.startsOf("req-free-2") < 2 || c.gang == http.StatusCreated && w.startsOf("req-free-3") < 1 {
				t.Errorf("%d of the array, %d of the service, %d of the gang", w.startsOf("req-free-1"), w.startsOf("req-free-2"), w.startsOf("req-free-3"))
			}
		})
	}
}
