// Package client submits, monitors and cancels pepperlever jobs.
//
// It follows the protocol's retry rules for users: a request without a definite response is
// retried with the same id for up to a minute. The client waits for one second between attempts,
// or for as long as the controller asks, up to 30 seconds. Retrying is safe because a job's id
// makes its submission idempotent.
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

// State is a job's state as last reported by a controller. DoneTasks and RunningTasks are
// meant for display only.
type State struct {
	ID           string `json:"id"`
	State        string `json:"state"`
	DoneTasks    int    `json:"done"`
	RunningTasks int    `json:"running"`
	// Awaits lists the jobs that have to be done before this one starts.
	Awaits []string `json:"awaits,omitempty"`
}

// Final reports whether the job has ended. A final state never changes.
func (s State) Final() bool { return s.State == Done || s.State == Cancelled }

// RefusedError reports a request that must not be retried, because it is malformed (400) or
// the job can never run (422).
type RefusedError struct {
	Status int
	Reason string
}

// Error returns the status and the site's reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%d): %s", e.Status, e.Reason) }

// UnreachableError reports a request that got no definite response in any attempt. A
// submission or cancellation may have been executed or not; it is safe to repeat it.
type UnreachableError struct {
	Tries int
	Last  error
}

// Error returns the number of attempts and the error of the last one.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no definite response after %d attempts: %v", e.Tries, e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.Last }

// ErrNotFound reports that no job with the given id was ever accepted.
var ErrNotFound = errors.New("no such job")

// Client sends requests to one site. It is safe for concurrent use.
type Client struct {
	http *http.Client

	mu      sync.Mutex
	targets *retry.Targets

	// now and sleep are the clock, which tests replace.
	now   func() time.Duration
	sleep func(ctx context.Context, d time.Duration) error
}

// New returns a client for a site's addresses (host:port). A request that fails at one is
// retried at the next.
func New(addresses ...string) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("client: no addresses given")
	}
	start := time.Now()
	return &Client{http: &http.Client{}, targets: retry.NewTargets(addresses),
		now: func() time.Duration { return time.Since(start) }, sleep: sleep}, nil
}

// sleep waits for d, or returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Submit submits a job and returns its state: pending if it is new, otherwise the current one.
// It returns a *RefusedError, an *UnreachableError or the error of ctx.
func (c *Client) Submit(ctx context.Context, j Job) (State, error) {
	body, err := json.Marshal(j.submission())
	if err != nil {
		return State{}, err
	}
	return c.requestJob(ctx, retry.ChangePolicy, http.MethodPost, protocol.PathJobs, body)
}

// Status returns a job's state. It returns ErrNotFound, an *UnreachableError or the error of
// ctx.
func (c *Client) Status(ctx context.Context, id string) (State, error) {
	return c.requestJob(ctx, retry.PollPolicy, http.MethodGet, protocol.PathJobs+"/"+url.PathEscape(id), nil)
}

// Cancel cancels a job. The returned state is cancelled, or done if the job was already done. It
// returns the same errors as Status.
func (c *Client) Cancel(ctx context.Context, id string) (State, error) {
	return c.requestJob(ctx, retry.ChangePolicy, http.MethodPost, protocol.PathJobs+"/"+url.PathEscape(id)+"/"+protocol.PathCancel, nil)
}

// Row is an entry of the list that Jobs returns.
type Row struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Team     string `json:"team"`
	Class    string `json:"class"`
	Priority string `json:"priority"`
	Tasks    int    `json:"tasks"`
	Done     int    `json:"done"`
	Running  int    `json:"running"`
	// Awaits lists the jobs that have to be done before this one starts.
	Awaits []string `json:"awaits,omitempty"`
}

// Jobs returns the jobs that have not ended, ordered by id. The pages that it reads are not a
// consistent snapshot: jobs may start and end in between. It returns the same errors as Status.
func (c *Client) Jobs(ctx context.Context) ([]Row, error) {
	out := []Row{}
	for after := ""; ; {
		response, err := c.request(ctx, retry.PollPolicy, http.MethodGet, protocol.PathList+"?"+url.Values{protocol.ArgAfter: {after}}.Encode(), nil)
		if err != nil {
			return nil, err
		}
		var page protocol.JobList
		if err := json.Unmarshal(response, &page); err != nil {
			return nil, fmt.Errorf("invalid response: %w", err)
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

// pollInterval is how often Wait polls a job's state.
const pollInterval = 2 * time.Second

// Wait polls a job until it has ended and returns its final state. onState, if not nil, is
// called with each state. While no controller responds it keeps polling until ctx ends.
func (c *Client) Wait(ctx context.Context, id string, onState func(State)) (State, error) {
	for {
		s, err := c.Status(ctx, id)
		var unreachable *UnreachableError
		switch {
		case errors.As(err, &unreachable): // the job may still be running, so keep polling
		case err != nil:
			return s, err
		default:
			if onState != nil {
				onState(s)
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

// request sends a request until it gets a definite response or the retry policy gives up.
func (c *Client) request(ctx context.Context, policy retry.Policy, method, path string, body []byte) ([]byte, error) {
	started := c.now()
	for tries := 1; ; tries++ {
		c.mu.Lock()
		target := c.targets.Pick(c.now())
		c.mu.Unlock()
		outcome, response, err := c.attempt(ctx, policy.AttemptTimeout, method, "http://"+target+path, body)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		now := c.now()
		c.mu.Lock()
		c.targets.Record(now, target, outcome)
		c.mu.Unlock()
		decision, delay := policy.Next(started, now, outcome)
		switch decision {
		case retry.Answered:
			return response, responseError(outcome.Status, response)
		case retry.GiveUp:
			return nil, &UnreachableError{Tries: tries, Last: err}
		}
		if err := c.sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
}

// responseError returns the error for a definite response, or nil if it reports success.
func responseError(status int, response []byte) error {
	switch {
	case status == http.StatusNotFound:
		return ErrNotFound
	case status >= http.StatusBadRequest:
		var p protocol.Problem
		if json.Unmarshal(response, &p) != nil {
			p.Error = "no reason given"
		}
		return &RefusedError{Status: status, Reason: p.Error}
	}
	return nil
}

// requestJob sends a request whose response is the state of a job.
func (c *Client) requestJob(ctx context.Context, policy retry.Policy, method, path string, body []byte) (State, error) {
	response, err := c.request(ctx, policy, method, path, body)
	if err != nil {
		return State{}, err
	}
	var s protocol.JobState
	if err := json.Unmarshal(response, &s); err != nil {
		return State{}, fmt.Errorf("invalid response: %w", err)
	}
	return State{ID: s.ID, State: s.State, DoneTasks: s.Done, RunningTasks: s.Running, Awaits: s.Awaits}, nil
}

// attempt sends a request once. The error describes the failure or the response's status and is
// never nil, not even if the response reports success. The caller uses the error only if the
// policy gives up.
func (c *Client) attempt(ctx context.Context, timeout time.Duration, method, address string, body []byte) (retry.Outcome, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
	response, err := io.ReadAll(io.LimitReader(res.Body, protocol.MaxBody))
	if err != nil {
		return retry.Outcome{}, nil, err
	}
	outcome := retry.Outcome{Status: res.StatusCode}
	if secs, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && secs > 0 {
		outcome.RetryAfter = time.Duration(secs) * time.Second
	}
	return outcome, response, fmt.Errorf("%s responded with status %d", req.URL.Host, res.StatusCode)
}
