package emulator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// Cloud simulates a cloud provider that rents machines. It does no I/O; callers pass the
// current time.
type Cloud struct {
	cfg       *Config
	rng       *rand.Rand
	rentals   map[string]protocol.MachineNames
	instances []*instance
	// namesIssued counts the machine names ever issued, including by earlier runs, so that
	// no name is reused.
	namesIssued int
	requests    tokenBucket
}

// instance is a machine that has been rented. It is kept after it has ended.
type instance struct {
	protocol.ListedMachine
	machineType                *MachineType
	requestedAt, upAt, endedAt time.Duration // upAt may be in the future, or never for a failed boot
	reclaimedAt                time.Duration // when the cloud reclaims a spot machine, or never
	noticeSent, endReported    bool          // whether Advance has returned the reclaim notice and the end
}

// never is the time of an event that is not going to happen.
const never = time.Duration(1<<63 - 1)

// NewCloud returns a cloud with no rented machines. alreadyIssued is the number of machine
// names that earlier runs have issued.
func NewCloud(cfg *Config, alreadyIssued int) *Cloud {
	return &Cloud{cfg: cfg, namesIssued: alreadyIssued, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), rentals: map[string]protocol.MachineNames{},
		requests: newTokenBucket(cfg.Cloud.RPS, 2*cfg.Cloud.RPS)}
}

// Catalog returns the available machine types.
func (c *Cloud) Catalog() protocol.Catalog {
	var catalog protocol.Catalog
	for _, t := range c.cfg.Types {
		catalog.Types = append(catalog.Types, protocol.MachineType{Name: t.Name, CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB,
			CacheGB: t.CacheGB, FetchGBPS: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootS: t.BootS / c.cfg.Speed, Zones: c.cfg.Zones})
	}
	return catalog
}

// Rent rents up to the requested number of machines. It is idempotent: a repeated request
// id returns the same names and rents nothing more. ok is false if no machine is available or if
// the type or the zone is unknown.
func (c *Cloud) Rent(now time.Duration, request protocol.Rental) (names protocol.MachineNames, ok bool) {
	if names, found := c.rentals[request.Request]; found {
		return names, true
	}
	i := slices.IndexFunc(c.cfg.Types, func(machineType MachineType) bool { return machineType.Name == request.Type })
	if i < 0 || !slices.Contains(c.cfg.Zones, request.Zone) {
		return names, false
	}
	machineType := &c.cfg.Types[i]
	available := machineType.Count
	if request.Spot {
		available = machineType.Spot
	}
	for _, inst := range c.instances {
		if inst.Type == request.Type && inst.Zone == request.Zone && inst.Spot == request.Spot && inst.endedAt == never {
			available--
		}
	}
	if available <= 0 {
		return names, false
	}
	for range min(available, request.Count) {
		names.Machines = append(names.Machines, c.provision(now, machineType, request.Zone, request.Spot))
	}
	c.rentals[request.Request] = names
	return names, true
}

// provision creates an instance. It randomly chooses whether and when the instance boots and,
// for a spot machine, when it is reclaimed.
func (c *Cloud) provision(now time.Duration, t *MachineType, zone string, spot bool) string {
	c.namesIssued++
	inst := &instance{machineType: t, requestedAt: now, endedAt: never, reclaimedAt: never, upAt: never}
	inst.ListedMachine = protocol.ListedMachine{ID: fmt.Sprintf("vm-%06d", c.namesIssued), Type: t.Name, Zone: zone, Spot: spot, State: protocol.Booting}
	if c.rng.Float64() >= c.cfg.Cloud.BootFailureProbability {
		inst.upAt = now + c.cfg.scaled(t.BootS*(0.6+0.9*c.rng.Float64()))
	}
	if rate := c.cfg.Cloud.SpotReclaimsPerHour; spot && rate > 0 {
		inst.reclaimedAt = now + seconds(c.rng.ExpFloat64()/rate*3600)
	}
	c.instances = append(c.instances, inst)
	return inst.ID
}

// Release ends the named machines immediately.
func (c *Cloud) Release(now time.Duration, machineIDs []string) {
	for _, inst := range c.instances {
		if inst.endedAt == never && slices.Contains(machineIDs, inst.ID) {
			inst.endedAt = now
		}
	}
}

// MachineChange is a change of a machine that Advance has observed.
type MachineChange struct {
	Machine string
	Type    *MachineType
	Zone    string
	Spot    bool
	// Booted and Ended report that the machine has booted or ended. ReclaimNotice, if not 0,
	// is the time until the cloud reclaims it.
	Booted, Ended bool
	ReclaimNotice time.Duration
}

// Advance moves the simulation to now and returns the changes since the last call, at most
// one for each machine.
func (c *Cloud) Advance(now time.Duration) []MachineChange {
	var changes []MachineChange
	for _, inst := range c.instances {
		change := MachineChange{Machine: inst.ID, Type: inst.machineType, Zone: inst.Zone, Spot: inst.Spot}
		notice := c.cfg.scaled(c.cfg.Cloud.NoticeS)
		switch {
		case inst.endReported:
		case inst.endedAt <= now || inst.reclaimedAt <= now:
			inst.endedAt = min(inst.endedAt, now)
			inst.endReported, change.Ended = true, true
			changes = append(changes, change)
		case inst.upAt <= now && inst.State == protocol.Booting:
			inst.State, change.Booted = protocol.Running, true
			changes = append(changes, change)
		case inst.reclaimedAt != never && inst.reclaimedAt-notice <= now && !inst.noticeSent:
			inst.noticeSent, change.ReclaimNotice = true, inst.reclaimedAt-now
			changes = append(changes, change)
		}
	}
	return changes
}

// List returns a page of the machines whose ids are greater than after. The list is eventually
// consistent: it lags by the configured time and sometimes by twice that, so that a page
// can be older than the one before it.
func (c *Cloud) List(now time.Duration, after string, limit int) protocol.MachineList {
	lag := seconds(c.cfg.Cloud.ListLagS)
	if c.rng.IntN(8) == 0 {
		lag *= 2
	}
	asOf := max(0, now-lag)
	page := protocol.MachineList{Machines: []protocol.ListedMachine{}}
	for _, inst := range c.instances {
		if inst.ID <= after || inst.requestedAt > asOf || inst.endedAt <= asOf {
			continue
		}
		if len(page.Machines) == limit {
			page.More = true
			break
		}
		listed := inst.ListedMachine
		listed.AgeS = (asOf - inst.requestedAt).Seconds()
		if inst.upAt > asOf {
			listed.State = protocol.Booting
		}
		page.Machines = append(page.Machines, listed)
	}
	slices.SortFunc(page.Machines, func(a, b protocol.ListedMachine) int { return cmp.Compare(a.ID, b.ID) })
	return page
}
