package emulator

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/federation/transport"
	"pepperlever/internal/protocol"
)

// RemoteClass is the class of the jobs that may be handed off to the second site. Jobs that the
// first site can run immediately are not handed off. RemoteZone is a zone that only the second
// site has.
const (
	RemoteClass = "goes"
	RemoteZone  = "abroad"
)

// Pair is two sites that hand off jobs to each other over a link in each direction.
type Pair struct {
	Sites [2]*Site
	// Links holds for each site the link that carries its outgoing streams.
	Links       [2]*Link
	dir         string
	linkServers []func(ctx context.Context) error
}

// pairNames holds the names of the two sites.
var pairNames = [2]federation.Site{"east", "west"}

// OpenPair opens two sites with the same configuration, except that the second also has
// RemoteZone, a different seed and, unless dir is set, a free port for its frontend. delay is
// the latency of messages between them.
func OpenPair(cfg *Config, dir, imagesDir string, delay time.Duration) (*Pair, error) {
	p := &Pair{}
	var err error
	if p.dir, err = os.MkdirTemp("", "pepperlever-lab-gateways-"); err != nil {
		return nil, err
	}
	if err := transport.IssueCredentials(p.dir, []string{string(pairNames[0]), string(pairNames[1])}, time.Hour, false); err != nil {
		return nil, err
	}
	for i := range p.Sites {
		siteCfg := *cfg
		siteCfg.Seed += uint64(i)
		if i > 0 {
			siteCfg.FrontendAddress = loopbackAddress
			siteCfg.Zones = append(slices.Clone(cfg.Zones), RemoteZone)
		}
		if dir != "" {
			siteCfg.FrontendAddress, dir = cfg.FrontendAddress, filepath.Join(dir, string(pairNames[i]))
		}
		if p.Sites[i], err = Open(&siteCfg, dir, imagesDir); err != nil {
			return nil, err
		}
		p.Sites[i].fleet.lookUpJob = p.Sites[i].storedJob
		if err := p.Sites[i].configureControllers(); err != nil {
			return nil, err
		}
		p.Links[i] = NewLink(delay)
		for _, ctrl := range p.Sites[i].controllers {
			if ctrl.federationAddress, err = freeAddress(); err != nil {
				return nil, err
			}
		}
	}
	for i := range p.Sites {
		if err := p.writeFederationFiles(i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// storedJob returns the submission of a job, rebuilt from the controllers' stored state, or nil
// if the job is unknown. It is needed for jobs handed off from another site, whose submissions
// the frontend has not recorded.
func (s *Site) storedJob(id string) *protocol.Submission {
	s.State.mu.Lock()
	kv, found := s.State.kv.Get("j/a/" + id)
	s.State.mu.Unlock()
	if !found {
		return nil
	}
	spec, err := job.HeadSpec(id, kv.Value)
	if err != nil {
		return nil
	}
	submission := spec.Submission()
	return &submission
}

// writeFederationFiles writes the federation files of site i's controllers. The peer's
// addresses in them are the listen addresses of site i's link.
func (p *Pair) writeFederationFiles(i int) error {
	other := p.Sites[1-i]
	peer := federation.Peer{Site: pairNames[1-i], MaxOutgoing: federation.MaxJobsPerPeer, MaxIncoming: federation.MaxJobsPerPeer, Zones: other.cfg.Zones}
	for _, ctrl := range other.controllers {
		ln, err := net.Listen("tcp4", loopbackAddress)
		if err != nil {
			return err
		}
		peer.Addresses = append(peer.Addresses, ln.Addr().String())
		p.linkServers = append(p.linkServers, func(ctx context.Context) error { return p.Links[i].serve(ctx, ln, ctrl.federationAddress) })
	}
	path := func(name string) string { return filepath.Join(p.dir, name) }
	cfg := federation.Default()
	cfg.Site, cfg.Peers = pairNames[i], []federation.Peer{peer}
	cfg.RetryS, cfg.RetryMaxS = 1, 4
	cfg.Classes = []federation.Class{{Name: RemoteClass, AcceptFrom: []federation.Site{peer.Site}, AllowsRepeat: true}}
	if i == 0 {
		cfg.Classes[0].To = []federation.Site{peer.Site}
	}
	cfg.Authority, cfg.TicketKeys = path("authority.pem"), path("tickets.toml")
	cfg.Certificate, cfg.Key = path(string(cfg.Site)+".pem"), path(string(cfg.Site)+"-key.pem")
	for _, ctrl := range p.Sites[i].controllers {
		cfg.Listen = ctrl.federationAddress
		raw, err := toml.Marshal(cfg)
		if err != nil {
			return err
		}
		ctrl.federationFile = path(string(cfg.Site) + "-" + ctrl.node + ".toml")
		if err := os.WriteFile(ctrl.federationFile, raw, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Run runs both sites and their links until ctx ends or one of them fails.
func (p *Pair) Run(ctx context.Context, launch LaunchFunc) error {
	defer os.RemoveAll(p.dir)
	group, ctx := errgroup.WithContext(ctx)
	for _, serveLink := range p.linkServers {
		group.Go(func() error { return serveLink(ctx) })
	}
	for _, s := range p.Sites {
		group.Go(func() error { return s.Run(ctx, launch) })
	}
	return group.Wait()
}

// Close closes the state files of both sites.
func (p *Pair) Close() error {
	for _, s := range p.Sites {
		if err := s.State.Close(); err != nil {
			return err
		}
	}
	return nil
}
