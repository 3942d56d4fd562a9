package emulator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"

	"pepperlever/internal/settings"
)

// controller is one controller process of the site.
type controller struct {
	node, zone, listenAddress, peerAddress, settingsFile string
	// federationFile configures hand-offs to other sites, and federationAddress is where the
	// controller accepts their streams; both are empty without federation.
	federationFile, federationAddress string
	healthy                           atomic.Bool
	// kill terminates the running process.
	kill atomic.Pointer[context.CancelFunc]
}

// configureControllers assigns zones and addresses to the controllers and writes their
// settings files.
func (s *Site) configureControllers() error {
	dir, err := os.MkdirTemp("", "pepperlever-lab-")
	if err != nil {
		return err
	}
	for i := range s.cfg.Controllers {
		c := &controller{node: fmt.Sprintf("hand-%d", i), zone: s.cfg.Zones[i%len(s.cfg.Zones)]}
		c.settingsFile = filepath.Join(dir, c.node+".toml")
		for _, addr := range []*string{&c.listenAddress, &c.peerAddress} {
			if *addr, err = freeAddress(); err != nil {
				return err
			}
		}
		s.controllers = append(s.controllers, c)
	}
	for _, c := range s.controllers {
		raw, err := toml.Marshal(s.settings(c))
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.settingsFile, raw, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a loopback address whose port is currently free.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp4", loopbackAddress)
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// settings returns the settings that the platform gives to a controller.
func (s *Site) settings(c *controller) *settings.Settings {
	out := &settings.Settings{Node: c.node, Zone: c.zone, Listen: c.listenAddress, PeerListen: c.peerAddress}
	for _, other := range s.controllers {
		if other != c {
			out.Peers = append(out.Peers, settings.Peer{Node: other.node, Zone: other.zone, Address: other.peerAddress})
		}
	}
	out.Services.Cloud, out.Services.State = s.cloudListener.Addr().String(), s.stateListener.Addr().String()
	params := &out.Params
	params.Nodes, params.Zones, params.Teams = s.cfg.Controllers, s.cfg.Zones, s.cfg.Teams
	workers := s.cfg.Workers
	params.Workers.ReportS, params.Workers.LeaseS, params.Workers.CancelS = workers.ReportS, workers.LeaseS, workers.CancelS
	params.Workers.GangWaitS, params.Workers.GangPeerS = workers.GangWaitS, workers.GangPeerS
	limits := s.cfg.State
	params.State.RPS, params.State.WriteRPS, params.State.ValueKB, params.State.TxnOps = limits.RPS, limits.WriteRPS, limits.ValueKB, limits.TxnOps
	params.Cloud.RPS, params.Cloud.ListLagS = s.cfg.Cloud.RPS, s.cfg.Cloud.ListLagS
	params.Limits.CPU, params.Limits.MemoryMB, params.Limits.MaxConnections = 1, 256, 1024
	return out
}

// LaunchFunc runs a controller with its settings file and, if not empty, its federation
// file, and returns when the controller has exited.
type LaunchFunc func(ctx context.Context, settingsFile, federationFile string) error

// KillController terminates a controller immediately; it is restarted after a second.
func (s *Site) KillController(node string) {
	for _, c := range s.controllers {
		if kill := c.kill.Load(); c.node == node && kill != nil {
			(*kill)()
		}
	}
}

// superviseController runs a controller and restarts it whenever it exits, until ctx ends.
func (s *Site) superviseController(ctx context.Context, c *controller, launch LaunchFunc) error {
	defer os.Remove(c.settingsFile)
	for ctx.Err() == nil {
		runCtx, kill := context.WithCancel(ctx)
		c.kill.Store(&kill)
		err := launch(runCtx, c.settingsFile, c.federationFile)
		kill()
		if ctx.Err() != nil {
			return nil
		}
		slog.Error("controller exited, restarting", "node", c.node, "error", err)
		sleep(ctx, time.Second)
	}
	return nil
}
