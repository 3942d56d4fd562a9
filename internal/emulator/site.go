package emulator

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Site emulates a site on loopback: the state service, the cloud, the workers and the users'
// frontend. It runs the controllers through a LaunchFunc.
type Site struct {
	cfg   *Config
	State *StateService
	start time.Time
	// outputRoot is the directory for the output of all tasks.
	outputRoot string

	mu    sync.Mutex
	cloud *Cloud
	fleet *Fleet

	frontendListener, cloudListener, stateListener net.Listener
	controllers                                    []*controller
	// workerCancels holds for each machine the function that stops its worker.
	workerCancels map[string]context.CancelFunc
	group         *errgroup.Group
}

// tickInterval is how often the state of machines and tasks is advanced.
const tickInterval = 20 * time.Millisecond

// Open returns a site whose listeners are open. The site keeps its state between runs in dir,
// and tasks run the programs in imagesDir. If dir is empty, the state is kept only in memory. If
// imagesDir is empty, all tasks are simulated.
func Open(cfg *Config, dir, imagesDir string) (*Site, error) {
	s := &Site{cfg: cfg, start: time.Now(), workerCancels: map[string]context.CancelFunc{}, outputRoot: outputRootOf(dir)}
	var runner Runner
	if imagesDir != "" {
		runner = &programRunner{site: s, imagesDir: imagesDir}
	}
	s.fleet = NewFleet(cfg, runner)
	var err error
	if s.State, err = NewStateService(cfg.State, dir); err != nil {
		return nil, err
	}
	jobs, machineCount, err := s.State.file.load()
	if err != nil {
		return nil, err
	}
	s.cloud = NewCloud(cfg, machineCount)
	for _, j := range jobs {
		s.fleet.AddJob(j)
	}
	for _, listener := range []struct {
		ln   *net.Listener
		addr string
	}{{&s.frontendListener, cfg.FrontendAddress}, {&s.cloudListener, loopbackAddress}, {&s.stateListener, loopbackAddress}} {
		if *listener.ln, err = net.Listen("tcp4", listener.addr); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// loopbackAddress lets the system choose a free port.
const loopbackAddress = "127.0.0.1:0"

// FrontendAddress returns the address that users connect to.
func (s *Site) FrontendAddress() string { return s.frontendListener.Addr().String() }

// Run runs the site and its controllers until ctx ends or a component fails.
func (s *Site) Run(ctx context.Context, launch LaunchFunc) error {
	if s.controllers == nil {
		if err := s.configureControllers(); err != nil {
			return err
		}
	}
	s.group, ctx = errgroup.WithContext(ctx)
	s.group.Go(func() error { return s.State.Run(ctx, s.stateListener) })
	s.group.Go(func() error { return serve(ctx, s.cloudListener, s.handleCloud) })
	s.group.Go(func() error { return serve(ctx, s.frontendListener, s.handleFrontend) })
	s.group.Go(func() error { return runEvery(ctx, tickInterval, func() { s.advance(ctx) }) })
	s.group.Go(func() error { return runEvery(ctx, probeInterval, s.probeControllers) })
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
		if overlaps := s.fleet.Overlaps(); overlaps > 0 {
			slog.Error("tasks were started while they were on another machine", "starts", overlaps)
		}
	}
	return err
}

// CompletedRuns returns the number of attempts that have run to completion.
func (s *Site) CompletedRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.completedRuns
}

// now returns the time since the site was opened, which is the clock of the fleet and the cloud.
func (s *Site) now() time.Duration { return time.Since(s.start) }

// advance moves the fleet and the cloud to the current time, and starts and stops the workers
// of machines that have booted or ended.
func (s *Site) advance(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.fleet.Advance(now)
	for _, change := range s.cloud.Advance(now) {
		switch {
		case change.Ended:
			s.fleet.Remove(change.Machine)
			if cancel := s.workerCancels[change.Machine]; cancel != nil {
				cancel()
				delete(s.workerCancels, change.Machine)
			}
		case change.Booted:
			s.startWorker(ctx, now, change)
		case change.ReclaimNotice > 0:
			s.fleet.ReclaimNotice(change.Machine, change.ReclaimNotice)
		}
	}
}
