// Package client submits jobs to pepperlever, follows and cancels them.
//
// It keeps to the protocol's rules for users: a request without a clear answer is
// repeated under the same id for up to a minute, after a second or as long as the
// controller asks for. Repeating is safe, since a job's id makes it one job.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"pepperlever/internal/client/retry"
	"pepperlever/internal/protocol"
)

// States of a job.
const (
	Pending   = protocol.Queued
	Running   = protocol.Running
	Done      = protocol.Done
	Cancelled = protocol.Cancelled
)

// State is a job as a controller last told. DoneTasks and RunningTasks count
// tasks, for display.
type State struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	DoneTasks    int    `json:"done"`
	RunningTasks int    `json:"running"`
	// Awaits names the jobs that have to be done before this one begins.
	Awaits []string `json:"awaits,omitempty"`
}

// Final tells whether the job has ended; a final state never changes.
func (s State) Final() bool { return s.State == Done || s.State == Cancelled }

// RefusedError is a request that is not worth repeating: malformed (400), or for a
// job that can never run (422).
type RefusedError struct {
	Status int
	Reason string
}

// Error tells the status and the site's reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%d): %s", e.Status, e.Reason) }

// UnreachableError is a request without a clear answer after all tries. Whether a
// submission or cancellation was carried out is not known; repeating it tells.
type UnreachableError struct {
	Tries int
	Last  error
}

// Error tells how many tries were made, and the last one's error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no clear answer in %d tries: %v", e.Tries, e.Last)
}

// Unwrap gives the error of the last try.
func (e *UnreachableError) Unwrap() error { return e.Last }

// ErrNotFound means that no such job was ever accepted.
var ErrNotFound = errors.New("no such job")

// Client speaks to one site. It may be used by several goroutines.
type Client struct {
	http *http.Client

	mu      sync.Mutex
	targets *retry.Targets

	// now and sleep are the clock; tests bring their own.
	now   func() time.Duration
	sleep func(ctx context.Context, d time.Duration) error
}

// New makes a client for a site's addresses (host:port), which are tried in turn.
func New(addresses ...string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("client: no address")
	}
	start := time.Now()
	return &Client{http: &http.Client{}, targets: retry.NewTargets(addresses),
		now: func() time.Duration { return time.Since(start) }, sleep: sleep}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Submit hands a job in and returns its state: pending when it is new, or the
// current one when the site knows it already. Errors are *RefusedError,
// *UnreachableError or that of ctx.
func (c *Client) Submit(ctx context.Context, j Job) (State, error) {
	body, err := json.Marshal(j.submission())
	if err != nil {
		return State{}, err
	}
	return c.requestJob(ctx, retry.Change, http.MethodPost, protocol.PathJobs, body)
}

// Status asks for a job's state. Errors are ErrNotFound, *UnreachableError or that
// of ctx.
func (c *Client) Status(ctx context.Context, id string) (State, error) {
	return c.requestJob(ctx, retry.Poll, http.MethodGet, protocol.PathJobs+"/"+url.PathEscape(id), nil)
}

// Cancel withdraws a job. The state that it returns is cancelled, or done when the
// job was done before. Errors are those of Status.
func (c *Client) Cancel(ctx context.Context, id string) (State, error) {
	return c.requestJob(ctx, retry.Change, http.MethodPost, protocol.PathJobs+"/"+url.PathEscape(id)+"/"+protocol.PathCancel, nil)
}

// Row is a job in a list.
type Row struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Team     string `json:"team"`
	Class    string `json:"class"`
	Priority string `json:"priority"`
	Tasks    int    `json:"tasks"`
	Done     int    `json:"done"`
	Running  int    `json:"running"`
	// Awaits names the jobs that have to be done before this one begins.
	Awaits []string `json:"awaits,omitempty"`
}

// Jobs lists the jobs that have not ended, by id, as one controller last heard of
// them: jobs may come and go between the pages. Errors are those of Status.
func (c *Client) Jobs(ctx context.Context) ([]Row, error) {
	out := []Row{}
	for after := ""; ; {
		answer, err := c.request(ctx, retry.Poll, http.MethodGet, protocol.PathList+"?"+url.Values{protocol.ArgAfter: {after}}.Encode(), nil)
		if err != nil {
			return nil, err
		}
		var page protocol.JobList
		if err := json.Unmarshal(answer, &page); err != nil {
			return nil, fmt.Errorf("answer is not understood: %w", err)
		}
		for _, r := range page.Jobs {
			out = append(out, Row{r.ID, r.State, r.Team, r.Class, r.Priority, r.Tasks, r.Done, r.Running, r.Awaits})
			after = r.ID
		}
		if !page.More || len(page.Jobs) == 0 {
			return out, nil
		}
	}
}

// pollInterval is how often Wait asks for a job's state.
const pollInterval = 2 * time.Second

// Wait follows a job to its end. told, if not nil, takes each state on the way.
// While no controller answers it goes on asking until ctx ends.
func (c *Client) Wait(ctx context.Context, id string, told func(State)) (State, error) {
	for {
		s, err := c.Status(ctx, id)
		var out *UnreachableError
		switch {
		case errors.As(err, &out): // the job goes on without an answer
		case err != nil:
			return s, err
		default:
			if told != nil {
				told(s)
			}
			if s.Final() {
				return s, nil
			}
		}
		if err := c.sleep(ctx, pollInterval); err != nil {
			return s, err
		}
	}
}

// request repeats a request until its answer is clear.
func (c *Client) request(ctx context.Context, rules retry.Rules, method, path string, body []byte) ([]byte, error) {
	started := c.now()
	for tries := 1; ; tries++ {
		c.mu.Lock()
		target := c.targets.Pick(c.now())
		c.mu.Unlock()
		out, answer, err := c.try(ctx, rules.AnswerTimeout, method, "http://"+target+path, body)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		now := c.now()
		c.mu.Lock()
		c.targets.Record(now, target, out)
		c.mu.Unlock()
		verdict, pause := rules.Next(started, now, out)
		switch verdict {
		case retry.Answered:
			return answer, answerError(out.Status, answer)
		case retry.GiveUp:
			return nil, &UnreachableError{Tries: tries, Last: err}
		}
		if err := c.sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// answerError is the error of an answer that settles the request for ill, or nil.
func answerError(status int, answer []byte) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status >= http.StatusBadRequest:
		var p protocol.Problem
		if json.Unmarshal(answer, &p) != nil {
			p.Error = "without a reason"
		}
		return &RefusedError{Status: status, Reason: p.Error}
	}
	return nil
}

// requestJob asks for something whose answer is the state of a job.
func (c *Client) requestJob(ctx context.Context, rules retry.Rules, method, path string, body []byte) (State, error) {
	answer, err := c.request(ctx, rules, method, path, body)
	if err != nil {
		return State{}, err
	}
	var s protocol.JobState
	if err := json.Unmarshal(answer, &s); err != nil {
		return State{}, fmt.Errorf("answer is not understood: %w", err)
	}
	return State{ID: s.ID, State: s.State, DoneTasks: s.Done, RunningTasks: s.Running, Awaits: s.Awaits}, nil
}

// try sends a request once. err tells why there is no good answer.
func (c *Client) try(ctx context.Context, wait time.Duration, method, address string, body []byte) (retry.Outcome, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return retry.Outcome{}, nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return retry.Outcome{}, nil, err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(res.Body, protocol.MaxBody))
	if err != nil {
		return retry.Outcome{}, nil, err
	}
	out := retry.Outcome{Status: res.StatusCode}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && s > 0 {
		out.RetryAfter = time.Duration(s) * time.Second
	}
	return out, answer, fmt.Errorf("%s answers %d", req.URL.Host, res.StatusCode)
}
