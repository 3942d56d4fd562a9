package emulator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"pepperlever/client"
)

// fault is one failure between two sites: it begins when the n-th message after the
// submission of a job is about to pass a link, and ends by itself.
type fault struct {
	name  string
	begin func(p *Pair)
	end   func(p *Pair)
	lasts time.Duration
}

// faults lists all failures that are injected. Short ones end before a try is
// repeated, long ones after several.
func faults() []fault {
	short, long := 400*time.Millisecond, 5*time.Second
	var out []fault
	for _, side := range []int{0, 1} {
		for _, m := range []LinkMode{Refuse, Hang, Hold} {
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

// messagesPerHandoff is how many messages may pass a link before the fault begins: the offer
// and the question for the end from the origin, the decision and the result back.
const messagesPerHandoff = 2

// faultCase is one case of the table: a fault at a message from one side, perhaps
// together with a cancellation.
type faultCase struct {
	fault   fault
	side    int
	message int
	cancel  bool
}

func (c faultCase) String() string {
	return fmt.Sprintf("%-45s at message %d from %s, cancel %-5v", c.fault.name, c.message, pairNames[c.side], c.cancel)
}

// faultCases lists every fault at every message in either direction, with and without a
// cancellation. only, if not empty, picks the faults whose names contain it.
func faultCases(only string) []faultCase {
	var cases []faultCase
	for _, f := range faults() {
		if !strings.Contains(f.name, only) {
			continue
		}
		for message := range messagesPerHandoff {
			for side := range pairNames {
				for _, cancel := range []bool{false, true} {
					cases = append(cases, faultCase{fault: f, side: side, message: message, cancel: cancel})
				}
			}
		}
	}
	return cases
}

// faultTotals sums up the cases.
type faultTotals struct {
	cases, answers, runs, wrong int
}

// CutEveryStage hands jobs over and injects every fault at every message, in either
// direction, with and without a cancellation. It prints a line for each case, and counts
// runs and final answers. only, if not empty, picks the faults whose names contain it.
func (p *Pair) CutEveryStage(ctx context.Context, out io.Writer, only string) error {
	c, err := client.New(p.Sites[0].Front())
	if err != nil {
		return err
	}
	if err := p.waitForHandoff(ctx, c); err != nil {
		return err
	}
	var totals faultTotals
	for _, faultCase := range faultCases(only) {
		if err := p.checkCase(ctx, out, c, faultCase, &totals); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d cases: %d final answers, %d runs, %d wrong\n", totals.cases, totals.answers, totals.runs, totals.wrong)
	if totals.wrong > 0 {
		return fmt.Errorf("%d cases went wrong", totals.wrong)
	}
	return nil
}

// checkCase runs one case, prints its outcome and adds it to the totals. A job may run
// once at most, and exactly once if it ends done.
func (p *Pair) checkCase(ctx context.Context, out io.Writer, c *client.Client, faultCase faultCase, totals *faultTotals) error {
	before := p.completedTasks()
	final, took, err := p.runCase(ctx, c, faultCase)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	runs := p.completedTasks() - before
	totals.cases++
	totals.runs += runs
	if err == nil {
		totals.answers++
	}
	verdict := ""
	if err != nil || runs > 1 || final == client.Done && runs != 1 || !faultCase.cancel && final != client.Done {
		totals.wrong++
		verdict = fmt.Sprintf("  WRONG: %v", err)
	}
	fmt.Fprintf(out, "%v: %-9s %d runs, %4.1f s%s\n", faultCase, final, runs, took.Seconds(), verdict)
	return nil
}

func (p *Pair) completedTasks() int { return p.Sites[0].Completed() + p.Sites[1].Completed() }

// caseTimeout is for how long a case may take.
const caseTimeout = 90 * time.Second

// waitForHandoff waits until a job has come back from the other site.
func (p *Pair) waitForHandoff(ctx context.Context, c *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	_, err := p.runRemoteJob(ctx, c, nil)
	return err
}

// runRemoteJob submits a job that goes to the other site, and waits for its end.
func (p *Pair) runRemoteJob(ctx context.Context, c *client.Client, accepted func(id string)) (client.State, error) {
	id, err := p.submit(ctx, c, RemoteClass, 0.5)
	if err != nil {
		return client.State{}, err
	}
	if accepted != nil {
		accepted(id)
	}
	return c.Wait(ctx, id, nil)
}

// runCase plays one case and returns the job's final state. A cancellation comes with the
// fault.
func (p *Pair) runCase(ctx context.Context, c *client.Client, faultCase faultCase) (string, time.Duration, error) {
	ctx, stop := context.WithTimeout(ctx, caseTimeout)
	defer stop()
	began := make(chan struct{})
	p.Links[faultCase.side].OnMessage(faultCase.message, func() {
		faultCase.fault.begin(p)
		close(began)
	})
	start := time.Now()
	ended := make(chan struct{})
	s, err := p.runRemoteJob(ctx, c, func(id string) {
		go func() {
			defer close(ended)
			select {
			case <-began:
			case <-time.After(caseTimeout / 6): // so many messages do not pass
				return
			case <-ctx.Done():
				return
			}
			if faultCase.cancel {
				go func() { _, _ = c.Cancel(ctx, id) }() // the end of the job tells
			}
			sleep(ctx, faultCase.fault.lasts)
			faultCase.fault.end(p)
		}()
	})
	took := time.Since(start)
	if err != nil {
		return "", took, err
	}
	<-ended
	p.Links[faultCase.side].OnMessage(0, nil)
	again, err := c.Status(ctx, s.ID)
	if err == nil && again.State != s.State {
		err = fmt.Errorf("it was %s and is %s", s.State, again.State)
	}
	return s.State, took, err
}
