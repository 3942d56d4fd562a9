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

// controller is one controller of the site.
type controller struct {
	node, zone, listen, peer, settingsFile string
	// federationFile is the file that joins it to other sites, federationAddress where it
	// accepts their streams; both are empty without.
	federationFile, federationAddress string
	healthy                           atomic.Bool
	// kill ends the running process.
	kill atomic.Pointer[context.CancelFunc]
}

// placeControllers picks the controllers' addresses and writes their settings files.
func (s *Site) placeControllers() error {
	dir, err := os.MkdirTemp("", "pepperlever-lab-")
	if err != nil {
		return err
	}
	for i := range s.cfg.Controllers {
		c := &controller{node: fmt.Sprintf("hand-%d", i), zone: s.cfg.Zones[i%len(s.cfg.Zones)]}
		c.settingsFile = filepath.Join(dir, c.node+".toml")
		for _, addr := range []*string{&c.listen, &c.peer} {
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

// freeAddress is an address that nobody listens on now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp4", loopback)
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// settings is what the platform hands to a controller.
func (s *Site) settings(c *controller) *settings.Settings {
	out := &settings.Settings{Node: c.node, Zone: c.zone, Listen: c.listen, PeerListen: c.peer}
	for _, o := range s.controllers {
		if o != c {
			out.Peers = append(out.Peers, settings.Peer{Node: o.node, Zone: o.zone, Address: o.peer})
		}
	}
	out.Services.Cloud, out.Services.State = s.cloudListener.Addr().String(), s.stateListener.Addr().String()
	p := &out.Params
	p.Nodes, p.Zones, p.Teams = s.cfg.Controllers, s.cfg.Zones, s.cfg.Teams
	w := s.cfg.Workers
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = w.ReportS, w.LeaseS, w.CancelS
	p.Workers.GangWaitS, p.Workers.GangPeerS = w.GangWaitS, w.GangPeerS
	l := s.cfg.State
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = l.RPS, l.WriteRPS, l.ValueKB, l.TxnOps
	p.Cloud.RPS, p.Cloud.ListLagS = s.cfg.Cloud.RPS, s.cfg.Cloud.ListLagS
	p.Limits.CPU, p.Limits.MemoryMB, p.Limits.MaxConnections = 1, 256, 1024
	return out
}

// Launch starts a controller with its settings and, if not empty, its gateway's
// file, and returns when it has ended.
type Launch func(ctx context.Context, settings, gateway string) error

// Kill ends a controller at once; it is started again.
func (s *Site) Kill(node string) {
	for _, c := range s.controllers {
		if kill := c.kill.Load(); c.node == node && kill != nil {
			(*kill)()
		}
	}
}

// superviseController starts a controller again whenever it ends.
func (s *Site) superviseController(ctx context.Context, c *controller, launch Launch) error {
	defer os.Remove(c.settingsFile)
	for ctx.Err() == nil {
		run, kill := context.WithCancel(ctx)
		c.kill.Store(&kill)
		err := launch(run, c.settingsFile, c.federationFile)
		kill()
		if ctx.Err() != nil {
			return nil
		}
		slog.Error("controller ended and is restarted", "node", c.node, "error", err)
		sleep(ctx, time.Second)
	}
	return nil
}
