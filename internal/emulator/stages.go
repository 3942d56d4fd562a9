package emulator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"pepperlever/client"
)

// fault is one trouble between two sites: it begins when the n-th message from the
// hand-in of a job is about to pass a link, and ends by itself.
type fault struct {
	name  string
	begin func(p *Pair)
	end   func(p *Pair)
	lasts time.Duration
}

// faults are all troubles that the table causes. Short ones end before a try is
// repeated, long ones after several.
func faults() []fault {
	short, long := 400*time.Millisecond, 5*time.Second
	var out []fault
	for _, side := range []int{0, 1} {
		for _, m := range []Mode{Refuse, Hang, Hold} {
			for _, lasts := range []time.Duration{short, long} {
				out = append(out, fault{fmt.Sprintf("link from %s is %s for %v", pairNames[side], m, lasts),
					func(p *Pair) { p.Links[side].Set(m) }, func(p *Pair) { p.Links[side].Set(Pass) }, lasts})
			}
		}
		out = append(out,
			fault{fmt.Sprintf("all controllers of %s are killed", pairNames[side]), func(p *Pair) { p.killAll(side) }, func(*Pair) {}, 0},
			fault{fmt.Sprintf("state service of %s is out for %v", pairNames[side], long),
				func(p *Pair) { p.Sites[side].State.SetDown(true) }, func(p *Pair) { p.Sites[side].State.SetDown(false) }, long})
	}
	both := func(do func(p *Pair, side int)) func(p *Pair) { return func(p *Pair) { do(p, 0); do(p, 1) } }
	return append(out,
		fault{"all controllers of both are killed", both((*Pair).killAll), func(*Pair) {}, 0},
		fault{fmt.Sprintf("both directions hang for %v", long), both(func(p *Pair, i int) { p.Links[i].Set(Hang) }),
			both(func(p *Pair, i int) { p.Links[i].Set(Pass) }), long})
}

func (p *Pair) killAll(side int) {
	for _, c := range p.Sites[side].controllers {
		p.Sites[side].Kill(c.node)
	}
}

// stages are how many messages may pass a link before the trouble begins: the offer
// and the question for the end from the origin, the decision and the result back.
const stages = 2

// CutEveryStage hands jobs over and causes every trouble at every message, in either
// direction, with and without a cancellation. It prints a line a case, and counts
// runs and final answers. only, if not empty, picks the troubles whose names hold it.
func (p *Pair) CutEveryStage(ctx context.Context, out io.Writer, only string) error {
	c, err := client.New(p.Sites[0].Front())
	if err != nil {
		return err
	}
	if err := p.handsOff(ctx, c); err != nil {
		return err
	}
	cases, answers, runs, wrong := 0, 0, 0, 0
	for _, f := range faults() {
		if !strings.Contains(f.name, only) {
			continue
		}
		for stage := range stages {
			for side := range p.Links {
				for _, cancel := range []bool{false, true} {
					before := p.Sites[0].Completed() + p.Sites[1].Completed()
					final, took, err := p.play(ctx, c, f, side, stage, cancel)
					if ctx.Err() != nil {
						return ctx.Err()
					}
					ran := p.Sites[0].Completed() + p.Sites[1].Completed() - before
					cases, runs = cases+1, runs+ran
					if err == nil {
						answers++
					}
					verdict := ""
					if err != nil || ran > 1 || final == client.Done && ran != 1 || !cancel && final != client.Done {
						wrong++
						verdict = fmt.Sprintf("  WRONG: %v", err)
					}
					fmt.Fprintf(out, "%-45s at message %d from %s, cancel %-5v: %-9s %d runs, %4.1f s%s\n",
						f.name, stage, pairNames[side], cancel, final, ran, took.Seconds(), verdict)
				}
			}
		}
	}
	fmt.Fprintf(out, "%d cases: %d final answers, %d runs, %d wrong\n", cases, answers, runs, wrong)
	if wrong > 0 {
		return fmt.Errorf("%d cases went wrong", wrong)
	}
	return nil
}

// caseTime is for how long a case may take.
const caseTime = 90 * time.Second

// handsOff waits until a job has come back from the other site.
func (p *Pair) handsOff(ctx context.Context, c *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, caseTime)
	defer cancel()
	_, err := p.run(ctx, c, nil)
	return err
}

// run hands a job in that goes to the other site, and waits for its end.
func (p *Pair) run(ctx context.Context, c *client.Client, accepted func(id string)) (client.State, error) {
	id, err := p.submit(ctx, c, Goes, 0.5)
	if err != nil {
		return client.State{}, err
	}
	if accepted != nil {
		accepted(id)
	}
	return c.Wait(ctx, id, nil)
}

// play is one case. A cancellation comes with the trouble.
func (p *Pair) play(ctx context.Context, c *client.Client, f fault, side, stage int, cancel bool) (string, time.Duration, error) {
	ctx, stop := context.WithTimeout(ctx, caseTime)
	defer stop()
	began := make(chan struct{})
	p.Links[side].At(stage, func() { f.begin(p); close(began) })
	start := time.Now()
	ended := make(chan struct{})
	s, err := p.run(ctx, c, func(id string) {
		go func() {
			defer close(ended)
			select {
			case <-began:
			case <-time.After(caseTime / 6): // so many messages do not pass
				return
			case <-ctx.Done():
				return
			}
			if cancel {
				go func() { _, _ = c.Cancel(ctx, id) }() // the end of the job tells
			}
			sleep(ctx, f.lasts)
			f.end(p)
		}()
	})
	took := time.Since(start)
	if err != nil {
		return "", took, err
	}
	<-ended
	p.Links[side].At(0, nil)
	again, err := c.Status(ctx, s.ID)
	if err == nil && again.State != s.State {
		err = fmt.Errorf("it was %s and is %s", s.State, again.State)
	}
	return s.State, took, err
}
