package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// Cloud rents machines, without input or output: callers pass the time.
type Cloud struct {
	cfg    *Config
	rng    *rand.Rand
	rented map[string]protocol.MachineNames
	all    []*hired
	// named is how many machines were ever named.
	named int
	calls bucket
}

// hired is one machine from its rental to its end.
type hired struct {
	protocol.ListedMachine
	typ            *Type
	asked, up, end time.Duration // never: no such time yet
	taken          time.Duration // when a spot machine is taken back
	told, gone     bool          // whether its notice and its end were passed on
}

const never = time.Duration(1<<63 - 1)

// NewCloud makes a cloud from which nothing is rented, and that has named some
// machines before.
func NewCloud(cfg *Config, named int) *Cloud {
	return &Cloud{cfg: cfg, named: named, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), rented: map[string]protocol.MachineNames{},
		calls: newBucket(cfg.Cloud.RPS, 2*cfg.Cloud.RPS)}
}

// Catalogue lists the machine types.
func (c *Cloud) Catalogue() protocol.Catalogue {
	var out protocol.Catalogue
	for _, t := range c.cfg.Types {
		out.Types = append(out.Types, protocol.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB,
			CacheGB: t.CacheGB, FetchGBPS: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS / c.cfg.Speed, Zones: c.cfg.Zones})
	}
	return out
}

// Rent rents up to as many machines as asked for. The same request gets the same
// answer and rents nothing. ok is false when there is none.
func (c *Cloud) Rent(now time.Duration, r protocol.Rental) (names protocol.MachineNames, ok bool) {
	if names, again := c.rented[r.Request]; again {
		return names, true
	}
	i := slices.IndexFunc(c.cfg.Types, func(t Type) bool { return t.Name == r.Type })
	if i < 0 || !slices.Contains(c.cfg.Zones, r.Zone) {
		return names, false
	}
	t := &c.cfg.Types[i]
	left := t.Count
	if r.Spot {
		left = t.Spot
	}
	for _, h := range c.all {
		if h.Type == r.Type && h.Zone == r.Zone && h.Spot == r.Spot && h.end == never {
			left--
		}
	}
	if left <= 0 {
		return names, false
	}
	for range min(left, r.Count) {
		names.Machines = append(names.Machines, c.hire(now, t, r.Zone, r.Spot))
	}
	c.rented[r.Request] = names
	return names, true
}

func (c *Cloud) hire(now time.Duration, t *Type, zone string, spot bool) string {
	c.named++
	h := &hired{typ: t, asked: now, end: never, taken: never, up: never}
	h.ListedMachine = protocol.ListedMachine{ID: fmt.Sprintf("vm-%06d", c.named), Type: t.Name, Zone: zone, Spot: spot, State: protocol.Booting}
	if c.rng.Float64() >= c.cfg.Cloud.BootFail {
		h.up = now + c.cfg.scaled(t.BootS*(0.6+0.9*c.rng.Float64()))
	}
	if rate := c.cfg.Cloud.SpotPerHour; spot && rate > 0 {
		h.taken = now + seconds(c.rng.ExpFloat64()/rate*3600)
	}
	c.all = append(c.all, h)
	return h.ID
}

// Release ends machines at once.
func (c *Cloud) Release(now time.Duration, names []string) {
	for _, h := range c.all {
		if h.end == never && slices.Contains(names, h.ID) {
			h.end = now
		}
	}
}

// Change is what a step of time does to a machine.
type Change struct {
	Machine string
	Type    *Type
	Zone    string
	Spot    bool
	// Up tells that it came up, Gone that it is no more; NoticeS is set when it
	// will be taken back.
	Up, Gone bool
	Notice   time.Duration
}

// Advance lets the time pass and lists what happened since the last call.
func (c *Cloud) Advance(now time.Duration) []Change {
	var out []Change
	for _, h := range c.all {
		ch := Change{Machine: h.ID, Type: h.typ, Zone: h.Zone, Spot: h.Spot}
		notice := c.cfg.scaled(c.cfg.Cloud.NoticeS)
		switch {
		case h.gone:
		case h.end <= now || h.taken <= now:
			h.end = min(h.end, now)
			h.gone, ch.Gone = true, true
			out = append(out, ch)
		case h.up <= now && h.State == protocol.Booting:
			h.State, ch.Up = protocol.Running, true
			out = append(out, ch)
		case h.taken != never && h.taken-notice <= now && !h.told:
			h.told, ch.Notice = true, h.taken-now
			out = append(out, ch)
		}
	}
	return out
}

// List is a page of the machines as they were some time ago: the list lags, and
// now and then it is older than the one before.
func (c *Cloud) List(now time.Duration, after string, limit int) protocol.MachineList {
	lag := seconds(c.cfg.Cloud.ListLagS)
	if c.rng.IntN(8) == 0 {
		lag *= 2
	}
	then := max(0, now-lag)
	out := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for _, h := range c.all {
		if h.ID <= after || h.asked > then || h.end <= then {
			continue
		}
		if len(out.Machines) == limit {
			out.More = true
			break
		}
		l := h.ListedMachine
		l.AgeS = (then - h.asked).Seconds()
		if h.up > then {
			l.State = protocol.Booting
		}
		out.Machines = append(out.Machines, l)
	}
	slices.SortFunc(out.Machines, func(a, b protocol.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
