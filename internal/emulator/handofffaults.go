package emulator

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"pepperlever/client"
)

// fault is a failure that is injected into a hand-off between two sites and ends after its
// duration. The message at which it begins is given by faultCase.
type fault struct {
	name     string
	begin    func(p *Pair)
	end      func(p *Pair)
	duration time.Duration
}

// faults returns all faults. Short ones end before an attempt is retried, long ones after
// several retries.
func faults() []fault {
	short, long := 400*time.Millisecond, 5*time.Second
	var out []fault
	for _, side := range []int{0, 1} {
		for _, mode := range []LinkMode{Refuse, Hang, Hold} {
			for _, duration := range []time.Duration{short, long} {
				out = append(out, fault{fmt.Sprintf("link from %s is %s for %v", pairNames[side], mode, duration),
					func(p *Pair) { p.Links[side].SetMode(mode) }, func(p *Pair) { p.Links[side].SetMode(Pass) }, duration})
			}
		}
		out = append(out,
			fault{fmt.Sprintf("all controllers of %s are killed", pairNames[side]), func(p *Pair) { p.killControllers(side) }, func(*Pair) {}, 0},
			fault{fmt.Sprintf("state service of %s is out for %v", pairNames[side], long),
				func(p *Pair) { p.Sites[side].State.SetDown(true) }, func(p *Pair) { p.Sites[side].State.SetDown(false) }, long})
	}
	both := func(apply func(p *Pair, side int)) func(p *Pair) { return func(p *Pair) { apply(p, 0); apply(p, 1) } }
	return append(out,
		fault{"all controllers of both are killed", both((*Pair).killControllers), func(*Pair) {}, 0},
		fault{fmt.Sprintf("both directions hang for %v", long), both(func(p *Pair, i int) { p.Links[i].SetMode(Hang) }),
			both(func(p *Pair, i int) { p.Links[i].SetMode(Pass) }), long})
}

// killControllers terminates all controllers of one site; they are restarted.
func (p *Pair) killControllers(side int) {
	for _, c := range p.Sites[side].controllers {
		p.Sites[side].KillController(c.node)
	}
}

// messagesPerHandoff is the number of messages that a hand-off sends in each direction. A fault
// can begin at each of them: the offer and the query for the result from the origin, the
// decision and the result from the peer.
const messagesPerHandoff = 2

// faultCase is a fault with the message at which it begins, with or without a concurrent
// cancellation of the job. The fault begins before the link from side forwards the message.
type faultCase struct {
	fault   fault
	side    int
	message int // number of messages that the link forwards before this one
	cancel  bool
}

func (c faultCase) String() string {
	return fmt.Sprintf("%-45s at message %d from %s, cancel %-5v", c.fault.name, c.message, pairNames[c.side], c.cancel)
}

// faultCases returns every fault at every message in either direction, with and without a
// cancellation. If only is not empty, it returns just the faults whose names contain it.
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

// faultTotals counts the cases, the final states received, the completed runs and the failed
// cases.
type faultTotals struct {
	cases, answers, runs, failures int
}

// RunFaultCases hands off a job for each fault case, prints a line for each, and returns an
// error if a job ran more than once or did not reach the expected final state. If only is not
// empty, it runs just the faults whose names contain it.
func (p *Pair) RunFaultCases(ctx context.Context, out io.Writer, only string) error {
	c, err := client.New(p.Sites[0].FrontendAddress())
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
	fmt.Fprintf(out, "%d cases: %d final answers, %d runs, %d wrong\n", totals.cases, totals.answers, totals.runs, totals.failures)
	if totals.failures > 0 {
		return fmt.Errorf("%d cases failed", totals.failures)
	}
	return nil
}

// checkCase runs one case, prints its outcome and adds it to the totals. A job must run at
// most once, and exactly once if its final state is done.
func (p *Pair) checkCase(ctx context.Context, out io.Writer, c *client.Client, faultCase faultCase, totals *faultTotals) error {
	before := p.completedRuns()
	final, elapsed, err := p.runCase(ctx, c, faultCase)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	runs := p.completedRuns() - before
	totals.cases++
	totals.runs += runs
	if err == nil {
		totals.answers++
	}
	verdict := ""
	if err != nil || runs > 1 || final == client.Done && runs != 1 || !faultCase.cancel && final != client.Done {
		totals.failures++
		verdict = fmt.Sprintf("  WRONG: %v", err)
	}
	fmt.Fprintf(out, "%v: %-9s %d runs, %4.1f s%s\n", faultCase, final, runs, elapsed.Seconds(), verdict)
	return nil
}

// completedRuns returns the number of attempts that ran to completion at both sites.
func (p *Pair) completedRuns() int { return p.Sites[0].CompletedRuns() + p.Sites[1].CompletedRuns() }

// caseTimeout bounds the duration of one case.
const caseTimeout = 90 * time.Second

// waitForHandoff waits until the sites can hand off jobs: it runs one at the other site.
func (p *Pair) waitForHandoff(ctx context.Context, c *client.Client) error {
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	_, err := p.runRemoteJob(ctx, c, nil)
	return err
}

// runRemoteJob submits a job that is handed off to the other site and waits for its final
// state. onAccepted, if not nil, is called once the job is accepted.
func (p *Pair) runRemoteJob(ctx context.Context, c *client.Client, onAccepted func(id string)) (client.State, error) {
	id, err := p.submitJob(ctx, c, RemoteClass, 0.5)
	if err != nil {
		return client.State{}, err
	}
	if onAccepted != nil {
		onAccepted(id)
	}
	return c.Wait(ctx, id, nil)
}

// runCase runs one case and returns the job's final state and its duration. The job is
// cancelled, if at all, when the fault begins.
func (p *Pair) runCase(ctx context.Context, c *client.Client, faultCase faultCase) (string, time.Duration, error) {
	ctx, stop := context.WithTimeout(ctx, caseTimeout)
	defer stop()
	faultStarted := make(chan struct{})
	p.Links[faultCase.side].OnMessage(faultCase.message, func() {
		faultCase.fault.begin(p)
		close(faultStarted)
	})
	start := time.Now()
	faultEnded := make(chan struct{})
	final, err := p.runRemoteJob(ctx, c, func(id string) {
		go func() {
			defer close(faultEnded)
			select {
			case <-faultStarted:
			case <-time.After(caseTimeout / 6): // the hand-off has sent fewer messages
				return
			case <-ctx.Done():
				return
			}
			if faultCase.cancel {
				go func() { _, _ = c.Cancel(ctx, id) }() // checkCase checks the final state instead of this response
			}
			sleep(ctx, faultCase.fault.duration)
			faultCase.fault.end(p)
		}()
	})
	elapsed := time.Since(start)
	if err != nil {
		return "", elapsed, err
	}
	<-faultEnded
	p.Links[faultCase.side].OnMessage(0, nil)
	current, err := c.Status(ctx, final.ID)
	if err == nil && current.State != final.State {
		err = fmt.Errorf("final state changed from %s to %s", final.State, current.State)
	}
	return final.State, elapsed, err
}
