package emulator

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Site is a whole site but for its controllers: state service, cloud, workers and
// the users' front door, all on loopback.
type Site struct {
	cfg   *Config
	State *StateService
	start time.Time
	// outputDir is the folder of the tasks' output.
	outputDir string

	mu    sync.Mutex
	cloud *Cloud
	fleet *Fleet

	frontListener, cloudListener, stateListener net.Listener
	controllers                                 []*controller
	// workers ends each worker's loop when its machine is gone.
	workers map[string]context.CancelFunc
	group   *errgroup.Group
}

// tick is how often time passes for machines and tasks.
const tick = 20 * time.Millisecond

// Open makes a site and its listeners. dir keeps its state between runs, images
// holds programs that tasks run; either may be empty.
func Open(cfg *Config, dir, images string) (*Site, error) {
	s := &Site{cfg: cfg, start: time.Now(), workers: map[string]context.CancelFunc{}, outputDir: outputs(dir)}
	var runner Runner
	if images != "" {
		runner = &programRunner{site: s, images: images}
	}
	s.fleet = NewFleet(cfg, runner)
	var err error
	if s.State, err = NewStateService(cfg.State, dir); err != nil {
		return nil, err
	}
	jobs, machines, err := s.State.file.load()
	if err != nil {
		return nil, err
	}
	s.cloud = NewCloud(cfg, machines)
	for _, j := range jobs {
		s.fleet.AddJob(j)
	}
	for _, l := range []struct {
		ln   *net.Listener
		addr string
	}{{&s.frontListener, cfg.Front}, {&s.cloudListener, loopback}, {&s.stateListener, loopback}} {
		if *l.ln, err = net.Listen("tcp4", l.addr); err != nil {
			return nil, err
		}
	}
	return s, nil
}

const loopback = "127.0.0.1:0"

// Front is the users' address.
func (s *Site) Front() string { return s.frontListener.Addr().String() }

// Run serves until ctx ends or a part of the site fails.
func (s *Site) Run(ctx context.Context, launch Launch) error {
	if s.controllers == nil {
		if err := s.placeControllers(); err != nil {
			return err
		}
	}
	s.group, ctx = errgroup.WithContext(ctx)
	s.group.Go(func() error { return s.State.Run(ctx, s.stateListener) })
	s.group.Go(func() error { return serve(ctx, s.cloudListener, s.handleCloud) })
	s.group.Go(func() error { return serve(ctx, s.frontListener, s.handleFront) })
	s.group.Go(func() error { return every(ctx, tick, func() { s.advance(ctx) }) })
	s.group.Go(func() error { return every(ctx, probeInterval, s.probe) })
	for _, c := range s.controllers {
		s.group.Go(func() error { return s.superviseController(ctx, c, launch) })
	}
	err := s.group.Wait()
	if ctx.Err() != nil && err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		for id := range s.fleet.machines {
			s.fleet.Remove(id)
		}
	}
	return err
}

// Completed is how many tasks have run to their end here.
func (s *Site) Completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.completed
}

func (s *Site) now() time.Duration { return time.Since(s.start) }

// advance lets the time pass, and starts and ends the workers of machines that
// come and go.
func (s *Site) advance(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.fleet.Advance(now)
	for _, ch := range s.cloud.Advance(now) {
		switch {
		case ch.Gone:
			s.fleet.Remove(ch.Machine)
			if stop := s.workers[ch.Machine]; stop != nil {
				stop()
				delete(s.workers, ch.Machine)
			}
		case ch.Up:
			s.startWorker(ctx, now, ch)
		case ch.Notice > 0:
			s.fleet.Notice(ch.Machine, ch.Notice)
		}
	}
}
