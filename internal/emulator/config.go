package emulator

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pepperlever/internal/settings"
	"pepperlever/internal/strictconfig"
)

// Config configures an emulated site. Times are in seconds, sizes in GB and prices per hour.
type Config struct {
	// FrontendAddress is the address that users connect to.
	FrontendAddress string `toml:"front" comment:"the users' address; 0 as the port takes any that is free"`
	// Controllers is the number of controllers, each of which runs as its own process.
	Controllers int      `toml:"controllers" comment:"how many controllers run, each as a process of its own"`
	Zones       []string `toml:"zones" comment:"controllers and machines are spread over these"`
	// Speed divides the durations of tasks, image fetches, boots and reclaim notices.
	Speed   float64         `toml:"speed" comment:"divides the times that tasks, image fetches and boots take"`
	Seed    uint64          `toml:"seed" comment:"of the boots, of the spot machines that are taken back, and of stale lists"`
	Teams   []settings.Team `toml:"teams" comment:"cpus and gpus are guaranteed; a limit (max) of 0 means none"`
	Types   []MachineType   `toml:"machine_types" comment:"count and spot are what the cloud has in each zone"`
	Workers WorkerConfig    `toml:"workers" comment:"seconds, not divided by speed; repeat_share of the direct commands arrive once more, up to two leases later"`
	State   StateLimits     `toml:"state" comment:"requests and changes a second, KiB, changes a transaction"`
	Cloud   CloudLimits     `toml:"cloud" comment:"calls a second; list_lag_s is how old a list is, sometimes twice that"`
}

// MachineType describes a machine type. Count and Spot are the numbers of on-demand and spot
// machines that the cloud has in each zone.
type MachineType struct {
	Name      string  `toml:"name"`
	CPUs      float64 `toml:"cpus"`
	GPUs      float64 `toml:"gpus"`
	MemoryGB  float64 `toml:"memory_gb"`
	CacheGB   float64 `toml:"cache_gb"`
	FetchGBPS float64 `toml:"fetch_gb_per_s"`
	Price     float64 `toml:"price"`
	SpotPrice float64 `toml:"spot_price"`
	BootS     float64 `toml:"boot_s"`
	Count     int     `toml:"count"`
	Spot      int     `toml:"spot"`
}

// WorkerConfig holds the timing parameters of the workers.
type WorkerConfig struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
	// RepeatShare is the fraction of executed deliveries of which a copy arrives later.
	RepeatShare float64 `toml:"repeat_share"`
}

// CloudLimits holds the cloud's rate limit, list lag and failure rates.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
	// BootFailureProbability is the fraction of machines that never boot,
	// SpotReclaimsPerHour the mean reclaim rate of a spot machine, and NoticeS how long in
	// advance a reclaim is announced.
	BootFailureProbability float64 `toml:"boot_fail"`
	SpotReclaimsPerHour    float64 `toml:"spot_per_hour"`
	NoticeS                float64 `toml:"notice_s"`
}

// Default returns the configuration of a small site that runs jobs within seconds.
func Default() Config {
	return Config{
		FrontendAddress: "127.0.0.1:8700", Controllers: 3, Zones: []string{"north", "south"}, Speed: 1, Seed: 1,
		Teams: []settings.Team{{Name: "builders", CPUs: 16, CPUsMax: 64}, {Name: "guests", CPUs: 8, CPUsMax: 32}},
		Types: []MachineType{
			{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 2, Price: 0.2, SpotPrice: 0.07, BootS: 1, Count: 8, Spot: 8},
			{Name: "large", CPUs: 16, MemoryGB: 64, CacheGB: 40, FetchGBPS: 4, Price: 0.9, SpotPrice: 0.3, BootS: 2, Count: 4, Spot: 4},
		},
		Workers: WorkerConfig{ReportS: 1, LeaseS: 8, GangWaitS: 15, GangPeerS: 2, CancelS: 15},
		State:   StateLimits{RPS: 500, WriteRPS: 200, ValueKB: 8, TxnOps: 16},
		Cloud:   CloudLimits{RPS: 10, ListLagS: 2, NoticeS: 10},
	}
}

// Load reads a site's configuration file on top of the defaults. An unknown key is an error.
func Load(path string) (*Config, error) {
	c := Default()
	return &c, strictconfig.Load(path, &c)
}

// Check returns an error if the configuration is invalid.
func (c *Config) Check() error {
	for key, value := range map[string]float64{"controllers": float64(c.Controllers), "zones": float64(len(c.Zones)),
		"speed": c.Speed, "machine_types": float64(len(c.Types)), "cloud.rps": c.Cloud.RPS} {
		if value <= 0 {
			return fmt.Errorf("%s is missing or not positive", key)
		}
	}
	if c.Workers.RepeatShare < 0 || c.Workers.RepeatShare > 1 {
		return fmt.Errorf("workers.repeat_share must be from 0 to 1")
	}
	for i, t := range c.Types {
		if t.Name == "" || t.CPUs <= 0 || t.MemoryGB <= 0 || t.FetchGBPS <= 0 || t.Count < 0 || t.Spot < 0 {
			return fmt.Errorf("machine type %d (%q): name, cpus, memory_gb and fetch_gb_per_s must be given and counts must not be negative", i+1, t.Name)
		}
		if slices.ContainsFunc(c.Types[:i], func(other MachineType) bool { return other.Name == t.Name }) {
			return fmt.Errorf("duplicate machine type %q", t.Name)
		}
	}
	return nil
}

// EncodeTOML returns the configuration in the format that Load reads.
func (c *Config) EncodeTOML() (string, error) {
	var out bytes.Buffer
	encoder := toml.NewEncoder(&out)
	encoder.SetArraysMultiline(false)
	err := encoder.Encode(c)
	return out.String(), err
}

// scaled returns the duration of secs emulated seconds at the configured speed.
func (c *Config) scaled(secs float64) time.Duration { return seconds(secs / c.Speed) }
