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

// site is a scripted site against a fake clock: each try takes the next answer,
// "cut" for none, or a status with an optional Retry-After as in "503:7".
type site struct {
	answers []string
	body    string
	now     time.Duration
	asked   []string
	paused  []time.Duration
}

func (s *site) RoundTrip(r *http.Request) (*http.Response, error) {
	s.asked = append(s.asked, r.Method+" "+r.URL.Host+r.URL.Path)
	next := "cut"
	if len(s.answers) > 0 {
		next, s.answers = s.answers[0], s.answers[1:]
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

func (s *site) client(t *testing.T, addresses ...string) *Client {
	t.Helper()
	c, err := New(addresses...)
	if err != nil {
		t.Fatal(err)
	}
	c.http.Transport = s
	c.now = func() time.Duration { return s.now }
	c.sleep = func(ctx context.Context, d time.Duration) error {
		s.now += d
		s.paused = append(s.paused, d)
		return ctx.Err()
	}
	return c
}

func TestSubmissionIsRepeatedByTheProtocolsRules(t *testing.T) {
	seconds := func(n ...time.Duration) (out []time.Duration) {
		for _, s := range n {
			out = append(out, s*time.Second)
		}
		return out
	}
	for name, c := range map[string]struct {
		answers []string
		paused  []time.Duration
		status  int // of the refusal; 0 for none
		lost    bool
	}{
		"accepted at once":                {answers: []string{"201"}},
		"known already":                   {answers: []string{"200"}},
		"malformed is not repeated":       {answers: []string{"400"}, status: 400},
		"never runs is not repeated":      {answers: []string{"422"}, status: 422},
		"busy, then accepted":             {answers: []string{"503", "429", "504", "500", "201"}, paused: seconds(1, 1, 1, 1)},
		"no answer, then accepted":        {answers: []string{"cut", "201"}, paused: seconds(1)},
		"asked to come back later":        {answers: []string{"503:7", "201"}, paused: seconds(7)},
		"asked for too much":              {answers: []string{"503:900", "201"}, paused: seconds(30)},
		"asked to come back sooner":       {answers: []string{"503:0", "201"}, paused: seconds(1)},
		"the minute is over":              {answers: []string{"503:25", "503:25", "503:25"}, paused: seconds(25, 25), lost: true},
		"a pause that would end too late": {answers: []string{"503:30", "503:29", "503:2"}, paused: seconds(30, 29), lost: true},
	} {
		s := &site{answers: c.answers, body: `{"uid":"req-1","stance":"pending","error":"why"}`}
		got, err := s.client(t, "a").Submit(t.Context(), Job{ID: "req-1"})
		var refused *RefusedError
		var lost *UnreachableError
		switch {
		case c.status != 0 && (!errors.As(err, &refused) || refused.Status != c.status || refused.Reason != "why"):
			t.Errorf("%s: got %v", name, err)
		case c.lost && (!errors.As(err, &lost) || lost.Tries != len(c.answers)):
			t.Errorf("%s: got %v", name, err)
		case c.status == 0 && !c.lost && (err != nil || got.State != Pending):
			t.Errorf("%s: got %v, %v", name, got, err)
		}
		if fmt.Sprint(s.paused) != fmt.Sprint(c.paused) {
			t.Errorf("%s: paused %v, want %v", name, s.paused, c.paused)
		}
	}
}

func TestWaitGoesOnWhileNobodyAnswers(t *testing.T) {
	s := &site{answers: []string{"200"}, body: `{"uid":"req-1","stance":"running","running":2}`}
	c := s.client(t, "a")
	told := 0
	got, err := c.Wait(t.Context(), "req-1", func(State) {
		if told++; told == 1 {
			for range 70 { // more than a minute
				s.answers = append(s.answers, "cut")
			}
			s.answers = append(s.answers, "200")
			s.body = `{"uid":"req-1","stance":"cancelled"}`
		}
	})
	if err != nil || got.State != Cancelled || told != 2 {
		t.Errorf("got %v, %v after %d states", got, err, told)
	}
}

func TestCallersEndAndUnknownJobsAreToldApart(t *testing.T) {
	s := &site{answers: []string{"404"}}
	if _, err := s.client(t, "a").Cancel(t.Context(), "req-1"); !errors.Is(err, ErrNotFound) {
		t.Errorf("got %v", err)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if _, err := (&site{}).client(t, "a").Status(ctx, "req-1"); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

func TestJobFilesAreChecked(t *testing.T) {
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
			t.Errorf("%s: got %v", body, err)
		case want == "" && (err != nil || j.Fill() != nil || j.Tasks != 3 || j.Kind != Array || !strings.HasPrefix(j.ID, "req-")):
			t.Errorf("%s: got %+v, %v", body, j, err)
		}
	}
}
