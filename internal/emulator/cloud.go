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
	cfg       *Config
	rng       *rand.Rand
	rentals   map[string]protocol.MachineNames
	instances []*instance
	// namesIssued is how many machines were ever named.
	namesIssued int
	requests    tokenBucket
}

// instance is one machine from its rental to its end.
type instance struct {
	protocol.ListedMachine
	machineType                *MachineType
	requestedAt, upAt, endedAt time.Duration // never: no such time yet
	reclaimedAt                time.Duration // when a spot machine is taken back
	noticeSent, removed        bool          // whether its notice and its end were passed on
}

const never = time.Duration(1<<63 - 1)

// NewCloud makes a cloud from which nothing is rented, and that has named some
// machines before.
func NewCloud(cfg *Config, named int) *Cloud {
	return &Cloud{cfg: cfg, namesIssued: named, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), rentals: map[string]protocol.MachineNames{},
		requests: newTokenBucket(cfg.Cloud.RPS, 2*cfg.Cloud.RPS)}
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
	if names, again := c.rentals[r.Request]; again {
		return names, true
	}
	i := slices.IndexFunc(c.cfg.Types, func(t MachineType) bool { return t.Name == r.Type })
	if i < 0 || !slices.Contains(c.cfg.Zones, r.Zone) {
		return names, false
	}
	t := &c.cfg.Types[i]
	left := t.Count
	if r.Spot {
		left = t.Spot
	}
	for _, h := range c.instances {
		if h.Type == r.Type && h.Zone == r.Zone && h.Spot == r.Spot && h.endedAt == never {
			left--
		}
	}
	if left <= 0 {
		return names, false
	}
	for range min(left, r.Count) {
		names.Machines = append(names.Machines, c.provision(now, t, r.Zone, r.Spot))
	}
	c.rentals[r.Request] = names
	return names, true
}

func (c *Cloud) provision(now time.Duration, t *MachineType, zone string, spot bool) string {
	c.namesIssued++
	h := &instance{machineType: t, requestedAt: now, endedAt: never, reclaimedAt: never, upAt: never}
	h.ListedMachine = protocol.ListedMachine{ID: fmt.Sprintf("vm-%06d", c.namesIssued), Type: t.Name, Zone: zone, Spot: spot, State: protocol.Booting}
	if c.rng.Float64() >= c.cfg.Cloud.BootFail {
		h.upAt = now + c.cfg.scaled(t.BootS*(0.6+0.9*c.rng.Float64()))
	}
	if rate := c.cfg.Cloud.SpotPerHour; spot && rate > 0 {
		h.reclaimedAt = now + seconds(c.rng.ExpFloat64()/rate*3600)
	}
	c.instances = append(c.instances, h)
	return h.ID
}

// Release ends machines at once.
func (c *Cloud) Release(now time.Duration, names []string) {
	for _, h := range c.instances {
		if h.endedAt == never && slices.Contains(names, h.ID) {
			h.endedAt = now
		}
	}
}

// MachineChange is what a step of time does to a machine.
type MachineChange struct {
	Machine string
	Type    *MachineType
	Zone    string
	Spot    bool
	// Up tells that it came up, Gone that it is no more; NoticeS is set when it
	// will be taken back.
	Up, Gone bool
	Notice   time.Duration
}

// Advance lets the time pass and lists what happened since the last call.
func (c *Cloud) Advance(now time.Duration) []MachineChange {
	var out []MachineChange
	for _, h := range c.instances {
		ch := MachineChange{Machine: h.ID, Type: h.machineType, Zone: h.Zone, Spot: h.Spot}
		notice := c.cfg.scaled(c.cfg.Cloud.NoticeS)
		switch {
		case h.removed:
		case h.endedAt <= now || h.reclaimedAt <= now:
			h.endedAt = min(h.endedAt, now)
			h.removed, ch.Gone = true, true
			out = append(out, ch)
		case h.upAt <= now && h.State == protocol.Booting:
			h.State, ch.Up = protocol.Running, true
			out = append(out, ch)
		case h.reclaimedAt != never && h.reclaimedAt-notice <= now && !h.noticeSent:
			h.noticeSent, ch.Notice = true, h.reclaimedAt-now
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
	for _, h := range c.instances {
		if h.ID <= after || h.requestedAt > then || h.endedAt <= then {
			continue
		}
		if len(out.Machines) == limit {
			out.More = true
			break
		}
		l := h.ListedMachine
		l.AgeS = (then - h.requestedAt).Seconds()
		if h.upAt > then {
			l.State = protocol.Booting
		}
		out.Machines = append(out.Machines, l)
	}
	slices.SortFunc(out.Machines, func(a, b protocol.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
