package emulator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"pepperlever/client"
)

// Measure prints the latency of local and of handed-off jobs and the state changes per job. For
// each number of jobs in inFlight it prints how fast the jobs are handed off, and how long the
// last result takes once the links work again after a disconnection.
func (p *Pair) Measure(ctx context.Context, out io.Writer, inFlight []int) error {
	c, err := client.New(p.Sites[0].FrontendAddress())
	if err != nil {
		return err
	}
	if err := p.waitForHandoff(ctx, c); err != nil {
		return err
	}
	for _, class := range []string{"stays", RemoteClass} {
		if err := p.measureLatency(ctx, out, c, class, 60); err != nil {
			return err
		}
	}
	for _, jobs := range inFlight {
		if err := p.measureRecovery(ctx, out, c, jobs); err != nil {
			return err
		}
	}
	return nil
}

// measureLatency runs jobs of a class one after the other and prints their latency and the
// state changes per job.
func (p *Pair) measureLatency(ctx context.Context, out io.Writer, c *client.Client, class string, jobs int) error {
	histogram := hdrhistogram.New(1, 60_000, 3) // milliseconds
	before := p.changeCounts()
	for range jobs {
		start := time.Now()
		id, err := p.submitJob(ctx, c, class, 0.01)
		if err != nil {
			return err
		}
		if err := p.waitForEnd(ctx, c, id); err != nil {
			return err
		}
		if err := histogram.RecordValue(time.Since(start).Milliseconds()); err != nil {
			return err
		}
	}
	after := p.changeCounts()
	fmt.Fprintf(out, "class %-6s %d sequential jobs: p50 %d ms, p99 %d ms; state changes per job: %.1f at %s, %.1f at %s\n", class, jobs,
		histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99),
		float64(after[0]-before[0])/float64(jobs), pairNames[0], float64(after[1]-before[1])/float64(jobs), pairNames[1])
	return nil
}

// measureRecovery hands jobs off and disconnects both links until five seconds after the jobs are
// done at the other site. It prints how long the last result takes once the links are restored.
func (p *Pair) measureRecovery(ctx context.Context, out io.Writer, c *client.Client, jobs int) error {
	start := time.Now()
	runSeconds := 3 + float64(jobs)/100 // long enough that no job is done before all are handed off
	before := p.Sites[1].CompletedRuns()
	ids, err := p.submitJobs(ctx, c, jobs, runSeconds)
	if err != nil {
		return err
	}
	if err := p.poll(ctx, func() bool {
		return p.Sites[0].State.countKeys("j/ga/") >= jobs || time.Since(start).Seconds() > runSeconds
	}); err != nil {
		return err
	}
	handedOff := p.Sites[0].State.countKeys("j/ga/")
	fmt.Fprintf(out, "%5d jobs submitted concurrently: %d handed off after %.1f s\n", jobs, handedOff, time.Since(start).Seconds())
	if err := p.poll(ctx, func() bool {
		return p.Sites[1].State.countKeys("j/gt/") >= handedOff || time.Since(start).Seconds() > runSeconds
	}); err != nil {
		return err
	}
	for _, link := range p.Links {
		link.SetMode(Hang)
	}
	cutAt := time.Now()
	if err := p.poll(ctx, func() bool {
		return p.Sites[1].CompletedRuns() >= before+handedOff || time.Since(cutAt) > 2*caseTimeout
	}); err != nil {
		return err
	}
	sleep(ctx, 5*time.Second)
	for _, link := range p.Links {
		link.SetMode(Pass)
	}
	restoredAt := time.Now()
	for _, id := range ids {
		if err := p.waitForEnd(ctx, c, id); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%5d in flight behind a link cut for %.0f s, all completed at the peer: last result %.1f s after the link was restored\n", handedOff, restoredAt.Sub(cutAt).Seconds(), time.Since(restoredAt).Seconds())
	return nil
}

// submitJob submits a small job to the first site and returns its id. A job of RemoteClass
// is restricted to RemoteZone.
func (p *Pair) submitJob(ctx context.Context, c *client.Client, class string, runSeconds float64) (string, error) {
	spec := client.Job{Team: p.Sites[0].cfg.Teams[0].Name, Class: class, EstimateS: runSeconds, CPUs: 0.01, MemoryGB: 0.01}
	if class == RemoteClass {
		spec.Zone = RemoteZone
	}
	if err := spec.Fill(); err != nil {
		return "", err
	}
	_, err := c.Submit(ctx, spec)
	return spec.ID, err
}

// submitJobs concurrently submits jobs of RemoteClass and returns their ids.
func (p *Pair) submitJobs(ctx context.Context, c *client.Client, count int, runSeconds float64) ([]string, error) {
	var mu sync.Mutex
	var ids []string
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(32)
	for range count {
		group.Go(func() error {
			id, err := p.submitJob(ctx, c, RemoteClass, runSeconds)
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, id)
			return err
		})
	}
	return ids, group.Wait()
}

// waitForEnd polls a job until it has ended. It polls more often than Client.Wait, whose
// interval would dominate the measured latency.
func (p *Pair) waitForEnd(ctx context.Context, c *client.Client, id string) error {
	var err error
	pollErr := p.poll(ctx, func() bool {
		var s client.State
		s, err = c.Status(ctx, id)
		return err != nil || s.Final()
	})
	if pollErr != nil {
		return pollErr
	}
	return err
}

// poll waits until condition returns true. It calls condition every tickInterval.
func (p *Pair) poll(ctx context.Context, condition func() bool) error {
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, tickInterval)
	}
	return nil
}

// changeCounts returns the number of changes that each state service has made.
func (p *Pair) changeCounts() (counts [2]int) {
	for i, s := range p.Sites {
		counts[i] = s.State.changeCount()
	}
	return counts
}
