// Package settings reads the platform's settings file and the operator's policy script.
// Unknown fields of the file are ignored; missing or contradictory ones are reported in one
// line.
package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Team is a team with its guaranteed resources and, in the fields with the suffix Max, its
// limits. 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
}

// Peer is another controller.
type Peer struct {
	Node    string `toml:"node"`
	Zone    string `toml:"domain"`
	Address string `toml:"address"`
}

// StateLimits holds limits of the key-value store: requests and changes per second, the size
// of a value and the number of changes in a transaction.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// State holds the current limits of the key-value store and, in Next, those that come into
// force at some time after an upgrade. Limits that Next omits do not change.
type State struct {
	StateLimits
	Next StateLimits `toml:"next"`
}

// LowestLimits returns the lower of the current and the next value of each limit. They are safe
// both before and after the change.
func (s State) LowestLimits() StateLimits {
	out := s.StateLimits
	out.RPS = lowerLimit(out.RPS, s.Next.RPS)
	out.WriteRPS = lowerLimit(out.WriteRPS, s.Next.WriteRPS)
	out.ValueKB = lowerLimit(out.ValueKB, s.Next.ValueKB)
	out.TxnOps = lowerLimit(out.TxnOps, s.Next.TxnOps)
	return out
}

// leasesPerWorkerLease is the number of controller leases in the lease of a worker. A controller lease
// is short, since its early end costs no more than a change of leaders.
const leasesPerWorkerLease = 8

// ControllerLease returns the time to live of a controller's lease in the store.
func (s *Settings) ControllerLease() time.Duration {
	return time.Duration(s.Params.Workers.LeaseS * float64(time.Second) / leasesPerWorkerLease)
}

// lowerLimit returns the lower of the current limit and the next one; 0 means no next one.
func lowerLimit[T int | float64](now, next T) T {
	if next > 0 && next < now {
		return next
	}
	return now
}

// Settings is the content of the settings file.
type Settings struct {
	Node       string `toml:"node"`
	Zone       string `toml:"domain"`
	Listen     string `toml:"bind"`
	PeerListen string `toml:"peer_listen"`
	Peers      []Peer `toml:"others"`
	Services   struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Params struct {
		Nodes      int         `toml:"nodes"`
		Zones      []string    `toml:"zones"`
		Teams      []Team      `toml:"teams"`
		Objectives []Objective `toml:"objectives"`
		Workers    struct {
			ReportS   float64 `toml:"report_s"`
			LeaseS    float64 `toml:"lease_s"`
			GangWaitS float64 `toml:"gang_wait_s"`
			GangPeerS float64 `toml:"gang_peer_s"`
			CancelS   float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State State `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CPU            float64 `toml:"cpu"`
			MemoryMB       float64 `toml:"memory_mb"`
			MaxConnections int     `toml:"max_connections"`
		} `toml:"machine_limits"`
	} `toml:"params"`
}

// InvalidError reports a settings file that cannot be used.
type InvalidError struct {
	// Path is the path of the file. Reason describes in one line what is wrong with it.
	Path   string
	Reason error
}

// Error returns the path and the reason.
func (e *InvalidError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Reason) }

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error { return e.Reason }

// Load reads and validates a settings file. It returns an *InvalidError if the file can be
// read but not used.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var s Settings
	if err := toml.Unmarshal(raw, &s); err != nil {
		oneLine := strings.ReplaceAll(err.Error(), "\n", " ")
		return nil, &InvalidError{Path: path, Reason: errors.New(oneLine)}
	}
	if err := s.check(); err != nil {
		return nil, &InvalidError{Path: path, Reason: err}
	}
	return &s, nil
}

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("node is missing")
	}
	for _, a := range []struct{ name, addr string }{
		{"bind", s.Listen}, {"peer_listen", s.PeerListen},
		{"external.cloud", s.Services.Cloud}, {"external.state", s.Services.State},
	} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return fmt.Errorf("%s is not a valid address: %q", a.name, a.addr)
		}
	}
	if err := s.checkPeers(); err != nil {
		return err
	}
	if err := s.checkTeams(); err != nil {
		return err
	}
	return s.checkPositive()
}

func (s *Settings) checkPeers() error {
	seen := map[string]bool{s.Node: true}
	for _, p := range s.Peers {
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("others: node name %q is empty or not unique", p.Node)
		}
		seen[p.Node] = true
		if _, _, err := net.SplitHostPort(p.Address); err != nil {
			return fmt.Errorf("others: node %s has an invalid address: %q", p.Node, p.Address)
		}
	}
	return nil
}

func (s *Settings) checkTeams() error {
	if len(s.Params.Teams) == 0 {
		return errors.New("params.teams is missing")
	}
	seen := map[string]bool{}
	for _, t := range s.Params.Teams {
		switch {
		case t.Name == "" || seen[t.Name]:
			return fmt.Errorf("team name %q is empty or not unique", t.Name)
		case t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0:
			return fmt.Errorf("team %s has a negative guarantee or limit", t.Name)
		case t.CPUsMax > 0 && t.CPUs > t.CPUsMax, t.GPUsMax > 0 && t.GPUs > t.GPUsMax:
			return fmt.Errorf("team %s is guaranteed more than its limit", t.Name)
		}
		seen[t.Name] = true
	}
	return nil
}

func (s *Settings) checkPositive() error {
	p := &s.Params
	for _, f := range []struct {
		name  string
		value float64
	}{
		{"workers.report_s", p.Workers.ReportS}, {"workers.lease_s", p.Workers.LeaseS},
		{"workers.gang_wait_s", p.Workers.GangWaitS}, {"workers.gang_peer_s", p.Workers.GangPeerS},
		{"workers.cancel_s", p.Workers.CancelS}, {"state.rps", p.State.RPS},
		{"state.write_rps", p.State.WriteRPS}, {"state.value_kb", p.State.ValueKB},
		{"state.txn_ops", float64(p.State.TxnOps)}, {"cloud.rps", p.Cloud.RPS},
		{"machine_limits.cpu", p.Limits.CPU}, {"machine_limits.memory_mb", p.Limits.MemoryMB},
		{"machine_limits.max_connections", float64(p.Limits.MaxConnections)},
	} {
		if f.value <= 0 {
			return fmt.Errorf("params.%s must be positive", f.name)
		}
	}
	if n := p.State.Next; min(n.RPS, n.WriteRPS, n.ValueKB, float64(n.TxnOps)) < 0 {
		return errors.New("params.state.next must not be negative")
	}
	if p.Workers.LeaseS <= p.Workers.ReportS {
		return errors.New("params.workers.lease_s must exceed report_s")
	}
	return nil
}
