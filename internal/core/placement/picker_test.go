package placement

import (
	"fmt"
	"testing"
)

// TestPickerUsesAllHostsBestFirst checks that ranking the hosts once for many tasks still uses all
// free resources, in the order of the hosts' scores.
func TestPickerUsesAllHostsBestFirst(t *testing.T) {
	var hosts []*Host
	for i := range 6 {
		h := host(fmt.Sprint("m", i), "a", 4)
		h.PricePremium = float64(5-i) / 10
		hosts = append(hosts, h)
	}
	s := spec(2, 9)
	p := NewPicker(s, hosts)
	var got []string
	for n := 9; n > 0; n-- {
		h := p.Next(n, nil)
		if h == nil {
			break
		}
		h.Free = h.Free.Plus(s.Need, -1)
		got = append(got, h.ID)
		if n == 8 { // another job takes the next host
			hosts[4].Free.CPUs = 0
		}
	}
	want := "[m5 m5 m3 m3 m2 m2 m1 m1 m0]"
	if fmt.Sprint(got) != want {
		t.Errorf("got %v, want %s", got, want)
	}
	hosts[0].Free.CPUs = 0
	if h := p.Next(1, nil); h != nil {
		t.Errorf("got host %s, want none: all hosts are full", h.ID)
	}
}
