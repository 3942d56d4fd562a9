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

// listing runs List against a cloud that answers as page says, and gives what
// the core is told, or nil.
func listing(t *testing.T, page func() (int, protocol.MachineList)) *core.InventoryReceived {
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

func machines(from, n int) []protocol.ListedMachine {
	out := make([]protocol.ListedMachine, n)
	for i := range out {
		out[i] = protocol.ListedMachine{ID: fmt.Sprintf("vm-%06d", from+i), State: protocol.Running}
	}
	return out
}

// A list cut short would have every machine behind the cut taken for gone.
func TestOnlyAWholeListIsPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		// pages holds the first machine and the length of each page.
		pages [][2]int
		fails int // the page that is refused, from 1
		want  int
	}{
		"two thousand machines":     {pages: [][2]int{{0, 500}, {500, 500}, {1000, 500}, {1500, 500}}, want: 2000},
		"nobody is rented":          {pages: [][2]int{{0, 0}}, want: 0},
		"third page is refused":     {pages: [][2]int{{0, 500}, {500, 500}, {1000, 500}}, fails: 3, want: -1},
		"empty page, but more":      {pages: [][2]int{{0, 500}, {500, 0}, {500, 500}}, want: -1},
		"the same page for ever":    {pages: [][2]int{{0, 500}, {0, 500}, {0, 500}}, want: -1},
		"a page goes back":          {pages: [][2]int{{500, 500}, {0, 500}, {1000, 1}}, want: -1},
		"the last page is one long": {pages: [][2]int{{0, 500}, {500, 1}}, want: 501},
	} {
		n := 0
		got := listing(t, func() (int, protocol.MachineList) {
			n++
			if n == c.fails || n > len(c.pages) {
				return http.StatusTooManyRequests, protocol.MachineList{}
			}
			p := c.pages[n-1]
			return http.StatusOK, protocol.MachineList{Machines: machines(p[0], p[1]), More: n < len(c.pages)}
		})
		switch {
		case c.want < 0 && got != nil:
			t.Errorf("%s: %d machines passed on", name, len(got.Machines))
		case c.want >= 0 && (got == nil || len(got.Machines) != c.want):
			t.Errorf("%s: got %v", name, got)
		}
	}
}
