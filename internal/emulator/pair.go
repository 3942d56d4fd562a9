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

// Goes is the class whose jobs may be handed to the second site. Those that can run
// at the first one at once do; Abroad is a zone that only the second has.
const (
	RemoteClass = "goes"
	RemoteZone  = "abroad"
)

// Pair is two sites, with a link for what each sends to the other.
type Pair struct {
	Sites [2]*Site
	// Links carry what a site sends.
	Links       [2]*Link
	dir         string
	linkServers []func(ctx context.Context) error
}

// pairNames are what the two sites are called.
var pairNames = [2]federation.Site{"east", "west"}

// OpenPair makes two sites of one description, the second on the next port. delay is
// how long a message takes between them.
func OpenPair(cfg *Config, dir, images string, delay time.Duration) (*Pair, error) {
	p := &Pair{}
	var err error
	if p.dir, err = os.MkdirTemp("", "pepperlever-lab-gateways-"); err != nil {
		return nil, err
	}
	if err := transport.Issue(p.dir, []string{string(pairNames[0]), string(pairNames[1])}, time.Hour, false); err != nil {
		return nil, err
	}
	for i := range p.Sites {
		c := *cfg
		c.Seed += uint64(i)
		if i > 0 {
			c.Front = loopback
			c.Zones = append(slices.Clone(cfg.Zones), RemoteZone)
		}
		if dir != "" {
			c.Front, dir = cfg.Front, filepath.Join(dir, string(pairNames[i]))
		}
		if p.Sites[i], err = Open(&c, dir, images); err != nil {
			return nil, err
		}
		p.Sites[i].fleet.lookUpJob = p.Sites[i].storedJob
		if err := p.Sites[i].placeControllers(); err != nil {
			return nil, err
		}
		p.Links[i] = NewLink(delay)
		for _, k := range p.Sites[i].controllers {
			if k.federationAddress, err = freeAddress(); err != nil {
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

// storedJob reads a job's description where its controllers keep it: nobody has handed
// one that came from another site in here.
func (s *Site) storedJob(id string) *protocol.Submission {
	s.State.mu.Lock()
	kv, there := s.State.kv.Get("j/a/" + id)
	s.State.mu.Unlock()
	if !there {
		return nil
	}
	j := job.New(job.Spec{ID: id}, 1, 0)
	if j.LoadHead(kv.Value) != nil {
		return nil
	}
	out := j.Submission()
	return &out
}

// writeFederationFiles writes the gateway's files of site i, whose streams go through its link.
func (p *Pair) writeFederationFiles(i int) error {
	other := p.Sites[1-i]
	peer := federation.Peer{Site: pairNames[1-i], MaxOutgoing: federation.MaxJobsPerPeer, MaxIncoming: federation.MaxJobsPerPeer, Zones: other.cfg.Zones}
	for _, k := range other.controllers {
		ln, err := net.Listen("tcp4", loopback)
		if err != nil {
			return err
		}
		peer.Addresses = append(peer.Addresses, ln.Addr().String())
		p.linkServers = append(p.linkServers, func(ctx context.Context) error { return p.Links[i].serve(ctx, ln, k.federationAddress) })
	}
	in := func(name string) string { return filepath.Join(p.dir, name) }
	cfg := federation.Default()
	cfg.Site, cfg.Peers = pairNames[i], []federation.Peer{peer}
	cfg.RetryS, cfg.RetryMaxS = 1, 4
	cfg.Classes = []federation.Class{{Name: RemoteClass, AcceptFrom: []federation.Site{peer.Site}, AllowsRepeat: true}}
	if i == 0 {
		cfg.Classes[0].To = []federation.Site{peer.Site}
	}
	cfg.Authority, cfg.TicketKeys = in("authority.pem"), in("tickets.toml")
	cfg.Certificate, cfg.Key = in(string(cfg.Site)+".pem"), in(string(cfg.Site)+"-key.pem")
	for _, k := range p.Sites[i].controllers {
		cfg.Listen = k.federationAddress
		raw, err := toml.Marshal(cfg)
		if err != nil {
			return err
		}
		k.federationFile = in(string(cfg.Site) + "-" + k.node + ".toml")
		if err := os.WriteFile(k.federationFile, raw, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Run serves until ctx ends or a part fails.
func (p *Pair) Run(ctx context.Context, launch Launch) error {
	defer os.RemoveAll(p.dir)
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range p.linkServers {
		g.Go(func() error { return f(ctx) })
	}
	for _, s := range p.Sites {
		g.Go(func() error { return s.Run(ctx, launch) })
	}
	return g.Wait()
}

// Close ends the files that the state is kept in.
func (p *Pair) Close() error {
	for _, s := range p.Sites {
		if err := s.State.Close(); err != nil {
			return err
		}
	}
	return nil
}
