package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// fakeSite is a transport with scripted responses and a fake clock. Each attempt takes the
// next response: "cut" for a connection error, or a status with an optional Retry-After, as
// in "503:7".
type fakeSite struct {
	responses []string
	body      string
	now       time.Duration
	requests  []string
	delays    []time.Duration
}

// RoundTrip records the request and returns the next scripted response.
func (s *fakeSite) RoundTrip(r *http.Request) (*http.Response, error) {
	s.requests = append(s.requests, r.Method+" "+r.URL.Host+r.URL.Path)
	next := "cut"
	if len(s.responses) > 0 {
		next, s.responses = s.responses[0], s.responses[1:]
	}
	if next == "cut" {
		return nil, errors.New("connection refused")
	}
	status, after, _ := strings.Cut(next, ":")
	res := &http.Response{Header: http.Header{}, Body: io.NopCloser(bytes.NewBufferString(s.body))}
	if _, err := fmt.Sscan(status, &res.StatusCode); err != nil {
		return nil, err
	}
	if after != "" {
		res.Header.Set("Retry-After", after)
	}
	return res, nil
}

// client returns a Client that uses s as its transport and clock.
func (s *fakeSite) client(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := New(addresses...)
	if err != nil {
		t.Fatal(err)
	}
	c.http.Transport = s
	c.now = func() time.Duration { return s.now }
	c.sleep = func(ctx context.Context, d time.Duration) error {
		s.now += d
		s.delays = append(s.delays, d)
		return ctx.Err()
	}
	return c
}

func TestSubmitRetriesUntilDefiniteResponse(t *testing.T) {
	seconds := func(n ...time.Duration) (out []time.Duration) {
		for _, s := range n {
			out = append(out, s*time.Second)
		}
		return out
	}
	for name, c := range map[string]struct {
		responses   []string
		delays      []time.Duration
		status      int // of the refusal, or 0 if the submission is not refused
		unreachable bool
	}{
		"accepted at the first attempt":         {responses: []string{"201"}},
		"already known":                         {responses: []string{"200"}},
		"malformed is not retried":              {responses: []string{"400"}, status: 400},
		"job that can never run is not retried": {responses: []string{"422"}, status: 422},
		"busy, then accepted":                   {responses: []string{"503", "429", "504", "500", "201"}, delays: seconds(1, 1, 1, 1)},
		"no response, then accepted":            {responses: []string{"cut", "201"}, delays: seconds(1)},
		"Retry-After longer than the minimum":   {responses: []string{"503:7", "201"}, delays: seconds(7)},
		"Retry-After longer than the maximum":   {responses: []string{"503:900", "201"}, delays: seconds(30)},
		"Retry-After shorter than the minimum":  {responses: []string{"503:0", "201"}, delays: seconds(1)},
		"retry time elapsed":                    {responses: []string{"503:25", "503:25", "503:25"}, delays: seconds(25, 25), unreachable: true},
		"delay would end too late":              {responses: []string{"503:30", "503:29", "503:2"}, delays: seconds(30, 29), unreachable: true},
	} {
		s := &fakeSite{responses: c.responses, body: `{"uid":"req-1","stance":"pending","error":"why"}`}
		got, err := s.client(t, "a").Submit(t.Context(), Job{ID: "req-1"})
		var refused *RefusedError
		var unreachable *UnreachableError
		switch {
		case c.status != 0 && (!errors.As(err, &refused) || refused.Status != c.status || refused.Reason != "why"):
			t.Errorf("%s: got %v, want a refusal with the expected status", name, err)
		case c.unreachable && (!errors.As(err, &unreachable) || unreachable.Tries != len(c.responses)):
			t.Errorf("%s: got %v, want an UnreachableError after all attempts", name, err)
		case c.status == 0 && !c.unreachable && (err != nil || got.State != Pending):
			t.Errorf("%s: got %v, %v, want a pending job", name, got, err)
		}
		if fmt.Sprint(s.delays) != fmt.Sprint(c.delays) {
			t.Errorf("%s: got delays %v, want %v", name, s.delays, c.delays)
		}
	}
}

func TestWaitContinuesWhileSiteIsUnreachable(t *testing.T) {
	s := &fakeSite{responses: []string{"200"}, body: `{"uid":"req-1","stance":"running","running":2}`}
	c := s.client(t, "a")
	states := 0
	got, err := c.Wait(t.Context(), "req-1", func(State) {
		if states++; states == 1 {
			for range 70 { // more attempts than one request makes
				s.responses = append(s.responses, "cut")
			}
			s.responses = append(s.responses, "200")
			s.body = `{"uid":"req-1","stance":"cancelled"}`
		}
	})
	if err != nil || got.State != Cancelled || states != 2 {
		t.Errorf("got %v, %v after %d states, want cancelled after 2", got, err, states)
	}
}

func TestNotFoundAndContextErrors(t *testing.T) {
	s := &fakeSite{responses: []string{"404"}}
	if _, err := s.client(t, "a").Cancel(t.Context(), "req-1"); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := (&fakeSite{}).client(t, "a").Status(ctx, "req-1"); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
}

func TestLoadJobRejectsUnknownKeys(t *testing.T) {
	for text, want := range map[string]string{
		"x.toml\nteam = \"red\"\ntasks = 3\nawaits = [\"req-1\"]\n": "",
		"x.toml\nteem = \"red\"\n":                                  "line 1: unknown key",
		"x.json\n{\"team\":\"red\",\"tasks\":3}":                    "",
		"x.json\n{\"teem\":\"red\"}":                                "unknown field",
	} {
		name, body, _ := strings.Cut(text, "\n")
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
		j, err := LoadJob(path)
		switch {
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%s: got %v, want an error that contains the expected text", body, err)
		case want == "" && (err != nil || j.Fill() != nil || j.Tasks != 3 || j.Kind != Array || !strings.HasPrefix(j.ID, "req-")):
			t.Errorf("%s: got %+v, %v, want a job with 3 tasks and defaults", body, j, err)
		}
	}
}
