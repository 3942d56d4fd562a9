package placement

import (
	"slices"
	"testing"

	"pepperlever/internal/core/job"
)

// TestGangReservesHostsOnlyWhereItFitsWhole checks that a gang reserves no hosts on which it can never
// be placed as a whole. Such hosts would stay idle while other jobs wait.
func TestGangReservesHostsOnlyWhereItFitsWhole(t *testing.T) {
	inZones := func(zones ...string) (hosts []*Host) {
		for i, zone := range zones {
			hosts = append(hosts, host(string(rune('a'+i)), zone, 4))
		}
		return hosts
	}
	for name, c := range map[string]struct {
		zones           []string
		spread, oneZone bool
		prepare         func(hosts []*Host)
		want            []string
	}{
		"any zone, enough capacity":         {zones: []string{"z1", "z1", "z2", "z2"}, want: []string{"a", "b", "c", "d"}},
		"any zone, too little capacity":     {zones: []string{"z1", "z1", "z2"}},
		"one zone, enough capacity":         {zones: []string{"z1", "z2", "z2", "z2", "z2"}, oneZone: true, want: []string{"b", "c", "d", "e"}},
		"one zone, capacity split over two": {zones: []string{"z1", "z1", "z2", "z2"}, oneZone: true},
		"spread, capacity in one zone only": {zones: []string{"z1", "z1", "z1", "z1"}, spread: true},
		"spread, most capacity in one zone": {zones: []string{"z1", "z1", "z1", "z2", "z2"}, spread: true, want: []string{"a", "b", "d", "e"}},
		"GPU-only hosts do not count":       {zones: []string{"z1", "z1", "z2", "z2"}, prepare: func(hosts []*Host) { hosts[3].GPUOnly = true }},
		"services-only hosts do not count":  {zones: []string{"z1", "z1", "z2", "z2"}, prepare: func(hosts []*Host) { hosts[0].ServicesOnly = true }},
		"hosts reserved for another gang count as capacity": {zones: []string{"z1", "z1", "z2", "z2"}, prepare: func(hosts []*Host) { hosts[0].ReservedForGang = "other" },
			want: []string{"b", "c", "d"}},
		"full hosts count as capacity": {zones: []string{"z1", "z1", "z2", "z2"}, prepare: func(hosts []*Host) { hosts[0].Free.CPUs = 1 },
			want: []string{"b", "c", "d"}},
	} {
		s := &job.Spec{ID: "req-1", Kind: job.Gang, Tasks: 4, Need: job.Resources{CPUs: 4, MemoryGB: 1}, Spot: true, Spread: c.spread, OneZone: c.oneZone}
		hosts := inZones(c.zones...)
		if c.prepare != nil {
			c.prepare(hosts)
		}
		ReserveForGang(s, s.Tasks, hosts)
		var got []string
		for _, h := range hosts {
			if h.ReservedForGang == s.ID {
				got = append(got, h.ID)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: reserved %v, want %v", name, got, c.want)
		}
	}
}

// Guards against hosts that are reserved for a gang whose tasks fit by their resources and will never fit
// by the size of a report.
func TestNothingIsReservedForGangThatReportsCannotHold(t *testing.T) {
	h := host("m1", "a", 64)
	gang := &job.Spec{ID: "req-000001", Kind: job.Gang, Tasks: 5000, Need: job.Resources{CPUs: 0.001}}
	if ReserveForGang(gang, gang.Tasks, []*Host{h}); h.ReservedForGang != "" {
		t.Errorf("the host is reserved for %s", h.ReservedForGang)
	}
}
