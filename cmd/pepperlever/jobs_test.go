package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pepperlever/client"
)

// fakeSite starts a server that responds to every request with the given status and body. It
// returns the server's address and the last request that it received.
func fakeSite(t *testing.T, status int, body string) (address string, last *string) {
	t.Helper()
	last = new(string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var sent bytes.Buffer
		if _, err := sent.ReadFrom(r.Body); err != nil {
			t.Error(err)
		}
		*last = fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, sent.String())
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), last
}

// runCommand executes the command line args and returns what it prints to standard output.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	cmd := rootCommand()
	cmd.SetOut(&out)
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetArgs(args)
	err := cmd.ExecuteContext(t.Context())
	return out.String(), err
}

func TestExitStatusAndOutputOfCommands(t *testing.T) {
	running := `{"uid":"req-1","stance":"running","done":3,"running":2}`
	for name, c := range map[string]struct {
		status int
		body   string
		args   []string
		out    string
		exit   int
	}{
		"status":                   {200, running, []string{"status", "req-1"}, "req-1 running: 3 done, 2 running\n", 0},
		"status as JSON":           {200, running, []string{"status", "req-1", "--json"}, `{"id":"req-1","state":"running","done":3,"running":2}` + "\n", 0},
		"awaits other jobs":        {200, `{"uid":"req-1","stance":"pending","awaits":["req-2","req-3"]}`, []string{"status", "req-1"}, "req-1 pending: awaits req-2 req-3\n", 0},
		"no such job":              {404, `{"error":"no such job"}`, []string{"status", "req-1"}, "", exitNotFound},
		"refused":                  {422, `{"error":"team is unknown"}`, []string{"submit", "--team", "x"}, "", exitRefused},
		"wait for a cancelled job": {200, `{"uid":"req-1","stance":"cancelled"}`, []string{"wait", "req-1"}, "req-1 cancelled\n", exitCancelled},
		"cancel":                   {200, `{"uid":"req-1","stance":"cancelled"}`, []string{"cancel", "req-1"}, "req-1 cancelled\n", 0},
		"no jobs":                  {200, `{"rows":[],"truncated":false}`, []string{"jobs", "--json"}, "[]\n", 0},
		"unknown flag":             {200, running, []string{"status", "req-1", "--soon"}, "", exitInvalidInput},
	} {
		address, _ := fakeSite(t, c.status, c.body)
		out, err := runCommand(t, append(c.args, "--to", address)...)
		exit := 0
		if err != nil {
			exit = exitStatus(err)
		}
		if out != c.out || exit != c.exit {
			t.Errorf("%s: got output %q and exit status %d (%v)", name, out, exit, err)
		}
	}
	if got := exitStatus(fmt.Errorf("req-1: %w", &client.UnreachableError{Last: errors.New("cut")})); got != exitUnreachable {
		t.Errorf("no definite response: got exit status %d", got)
	}
}

func TestFlagsOverrideJobFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "job.toml")
	if err := os.WriteFile(file, []byte("team = \"red\"\ntasks = 3\ncpus = 2.0\ntypes = [\"a\", \"b\"]\nspot = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]string{
		"":                    `"crew":"red" "pieces":3 "vcpus":2 "builds":["a","b"] "loaners":true "urgency":"normal"`,
		"--tasks 9":           `"crew":"red" "pieces":9 "vcpus":2 "builds":["a","b"]`,
		"--types c,d":         `"pieces":3 "builds":["c","d"]`,
		"--spot=false":        `"pieces":3 "loaners":false`,
		"--priority urgent":   `"urgency":"urgent" "crew":"red"`,
		"--id req-7 --cpus 1": `"uid":"req-7" "vcpus":1`,
	} {
		address, last := fakeSite(t, 201, `{"uid":"req-1","stance":"pending"}`)
		if _, err := runCommand(t, append([]string{"submit", file, "--to", address}, strings.Fields(args)...)...); err != nil {
			t.Fatal(err)
		}
		for _, part := range strings.Fields(want) {
			if !strings.Contains(*last, part) {
				t.Errorf("%q: sent %s, want it to contain %s", args, *last, part)
			}
		}
	}
}
