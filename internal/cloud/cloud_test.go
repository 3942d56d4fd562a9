package cloud

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// fetchInventory runs FetchInventory against a cloud that answers with the results of page. It
// returns the inventory that the core receives, or nil.
func fetchInventory(t *testing.T, page func() (int, protocol.MachineList)) *core.InventoryReceived {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status, list := page()
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(list); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	cfg := &settings.Settings{}
	cfg.Services.Cloud = s.Listener.Addr().String()
	cfg.Params.Workers.LeaseS, cfg.Params.Cloud.RPS = 240, 10
	var got *core.InventoryReceived
	c := New(cfg, func(cmd core.Command) {
		l := cmd.(core.InventoryReceived)
		got = &l
	})
	c.FetchInventory()
	(<-c.queue)()
	return got
}

// machines returns n running machines with consecutive IDs.
func machines(from, n int) []protocol.ListedMachine {
	out := make([]protocol.ListedMachine, n)
	for i := range out {
		out[i] = protocol.ListedMachine{ID: fmt.Sprintf("vm-%06d", from+i), State: protocol.Running}
	}
	return out
}

// If an incomplete list were passed on, the core would treat all machines after the gap as
// terminated.
func TestOnlyCompleteInventoryIsEmitted(t *testing.T) {
	for name, c := range map[string]struct {
		// pages holds the number of the first machine and the length of each page.
		pages       [][2]int
		refusedPage int // the number of the page that is refused, from 1; 0 means none
		want        int
	}{
		"four full pages":           {pages: [][2]int{{0, 500}, {500, 500}, {1000, 500}, {1500, 500}}, want: 2000},
		"no machines":               {pages: [][2]int{{0, 0}}, want: 0},
		"third page is refused":     {pages: [][2]int{{0, 500}, {500, 500}, {1000, 500}}, refusedPage: 3, want: -1},
		"empty page before the end": {pages: [][2]int{{0, 500}, {500, 0}, {500, 500}}, want: -1},
		"same page repeated":        {pages: [][2]int{{0, 500}, {0, 500}, {0, 500}}, want: -1},
		"page goes backwards":       {pages: [][2]int{{500, 500}, {0, 500}, {1000, 1}}, want: -1},
		"last page has one machine": {pages: [][2]int{{0, 500}, {500, 1}}, want: 501},
	} {
		n := 0
		got := fetchInventory(t, func() (int, protocol.MachineList) {
			n++
			if n == c.refusedPage || n > len(c.pages) {
				return http.StatusTooManyRequests, protocol.MachineList{}
			}
			p := c.pages[n-1]
			return http.StatusOK, protocol.MachineList{Machines: machines(p[0], p[1]), More: n < len(c.pages)}
		})
		switch {
		case c.want < 0 && got != nil:
			t.Errorf("%s: got %d machines, want no inventory", name, len(got.Machines))
		case c.want >= 0 && (got == nil || len(got.Machines) != c.want):
			t.Errorf("%s: got inventory %v, want a complete one", name, got)
		}
	}
}
