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

// Measure prints how long jobs take that go to the other site and that stay, how
// many go over a second, what that costs the state services, and how long results
// take once a cut link is back, with so many jobs in flight.
func (p *Pair) Measure(ctx context.Context, out io.Writer, inFlight []int) error {
	c, err := client.New(p.Sites[0].Front())
	if err != nil {
		return err
	}
	if err := p.waitForHandoff(ctx, c); err != nil {
		return err
	}
	for _, class := range []string{"stays", RemoteClass} {
		if err := p.latency(ctx, out, c, class, 60); err != nil {
			return err
		}
	}
	for _, n := range inFlight {
		if err := p.recovery(ctx, out, c, n); err != nil {
			return err
		}
	}
	return nil
}

// latency runs n jobs one after the other.
func (p *Pair) latency(ctx context.Context, out io.Writer, c *client.Client, class string, n int) error {
	h := hdrhistogram.New(1, 60_000, 3) // milliseconds
	before := p.changeCounts()
	for range n {
		start := time.Now()
		id, err := p.submit(ctx, c, class, 0.01)
		if err != nil {
			return err
		}
		if err := p.waitForEnd(ctx, c, id); err != nil {
			return err
		}
		if err := h.RecordValue(time.Since(start).Milliseconds()); err != nil {
			return err
		}
	}
	after := p.changeCounts()
	fmt.Fprintf(out, "class %-6s %d jobs one by one: p50 %d ms, p99 %d ms; changes of the state a job: %.1f at %s, %.1f at %s\n", class, n,
		h.ValueAtQuantile(50), h.ValueAtQuantile(99),
		float64(after[0]-before[0])/float64(n), pairNames[0], float64(after[1]-before[1])/float64(n), pairNames[1])
	return nil
}

// recovery has n jobs away behind a cut link that end there, and tells how long the
// last result takes once the link is back.
func (p *Pair) recovery(ctx context.Context, out io.Writer, c *client.Client, n int) error {
	start := time.Now()
	runs := 3 + float64(n)/100 // none comes back before all are away
	before := p.Sites[1].Completed()
	ids, err := p.submitAll(ctx, c, n, runs)
	if err != nil {
		return err
	}
	if err := p.poll(ctx, func() bool { return p.Sites[0].State.countKeys("j/ga/") >= n || time.Since(start).Seconds() > runs }); err != nil {
		return err
	}
	away := p.Sites[0].State.countKeys("j/ga/")
	fmt.Fprintf(out, "%5d jobs handed in at once: %d away after %.1f s\n", n, away, time.Since(start).Seconds())
	if err := p.poll(ctx, func() bool { return p.Sites[1].State.countKeys("j/gt/") >= away || time.Since(start).Seconds() > runs }); err != nil {
		return err
	}
	for _, l := range p.Links {
		l.Set(Hang)
	}
	cut := time.Now()
	if err := p.poll(ctx, func() bool { return p.Sites[1].Completed() >= before+away || time.Since(cut) > 2*caseTimeout }); err != nil {
		return err
	}
	sleep(ctx, 5*time.Second)
	for _, l := range p.Links {
		l.Set(Pass)
	}
	back := time.Now()
	for _, id := range ids {
		if err := p.waitForEnd(ctx, c, id); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%5d in flight behind a link cut for %.0f s, all ended there: last result %.1f s after its return\n", away, back.Sub(cut).Seconds(), time.Since(back).Seconds())
	return nil
}

func (p *Pair) submit(ctx context.Context, c *client.Client, class string, runs float64) (string, error) {
	j := client.Job{Team: p.Sites[0].cfg.Teams[0].Name, Class: class, EstimateS: runs, CPUs: 0.01, MemoryGB: 0.01}
	if class == RemoteClass {
		j.Zone = RemoteZone
	}
	if err := j.Fill(); err != nil {
		return "", err
	}
	_, err := c.Submit(ctx, j)
	return j.ID, err
}

func (p *Pair) submitAll(ctx context.Context, c *client.Client, n int, runs float64) ([]string, error) {
	var mu sync.Mutex
	var ids []string
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(32)
	for range n {
		g.Go(func() error {
			id, err := p.submit(ctx, c, RemoteClass, runs)
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, id)
			return err
		})
	}
	return ids, g.Wait()
}

// waitForEnd asks for a job's end often: the figure is to be the site's, not the asker's.
func (p *Pair) waitForEnd(ctx context.Context, c *client.Client, id string) error {
	var err error
	waited := p.poll(ctx, func() bool {
		var s client.State
		s, err = c.Status(ctx, id)
		return err != nil || s.Final()
	})
	if waited != nil {
		return waited
	}
	return err
}

// poll looks every so often whether something holds.
func (p *Pair) poll(ctx context.Context, holds func() bool) error {
	for !holds() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, tick)
	}
	return nil
}

// changeCounts are how many changes each state service has made.
func (p *Pair) changeCounts() (out [2]int) {
	for i, s := range p.Sites {
		out[i] = s.State.changeCount()
	}
	return out
}
