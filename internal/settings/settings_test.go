package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validSettings = `
node = "n0"
domain = "z1"
bind = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"
a_new_field = [1, 2]
[[others]]
node = "n1"
domain = "z2"
address = "127.0.0.1:3"
[external]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[params]
nodes = 2
zones = ["z1"]
[[params.teams]]
name = "t"
cpus = 4.0
cpus_max = 0.0
[params.workers]
report_s = 2.0
lease_s = 20.0
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = 30.0
[params.state]
rps = 100.0
write_rps = 10.0
value_kb = 4.0
txn_ops = 8
[params.cloud]
rps = 2.0
list_lag_s = 5.0
[params.machine_limits]
cpu = 0.2
memory_mb = 100.0
max_connections = 500
`

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadReportsInvalidSettingsInOneLine(t *testing.T) {
	s, err := Load(writeFile(t, "s.toml", validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Params.Workers.LeaseS != 20 || s.Peers[0].Address != "127.0.0.1:3" {
		t.Errorf("got settings %+v, want lease_s 20 and the first peer at 127.0.0.1:3", s)
	}
	for name, c := range map[string]struct{ from, to, want string }{
		"invalid TOML":                    {"[params]", "[params", "toml"},
		"no node":                         {`node = "n0"`, ``, "node is missing"},
		"bad address":                     {`bind = "127.0.0.1:1"`, `bind = "here"`, "bind"},
		"peer with the name of this node": {`node = "n1"`, `node = "n0"`, "not unique"},
		"guarantee above the limit":       {"cpus_max = 0.0", "cpus_max = 3.0", "guaranteed more"},
		"lease below the report interval": {"lease_s = 20.0", "lease_s = 1.0", "lease_s"},
		"zero limit":                      {"rps = 100.0", "rps = 0.0", "state.rps"},
		"no teams":                        {"[[params.teams]]", "[[params.squads]]", "teams"},
	} {
		_, err := Load(writeFile(t, "s.toml", strings.Replace(validSettings, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line on %q", name, err, c.want)
		}
	}
}

func TestLoadPolicyReportsScriptErrorsInOneLine(t *testing.T) {
	s, err := Load(writeFile(t, "s.toml", validSettings))
	if err != nil {
		t.Fatal(err)
	}
	p, err := LoadPolicy(writeFile(t, "p.star", "half = 0.5\nwindow_s = lease_s * 10\nspare = half\nspot = False\n"), s)
	if err != nil || p.WindowS != 200 || p.Spare != 0.5 || p.Spot || p.TimeoutS != DefaultPolicy().TimeoutS {
		t.Errorf("got policy %+v and error %v, want window_s 200, spare 0.5, spot off and the default timeout_s", p, err)
	}
	for name, c := range map[string]struct{ script, want string }{
		"syntax":         {"x = 1\nwindow_s = (", "p.star:2"},
		"unknown name":   {"x = 1\n\nwindow_s = nothing", "p.star:3"},
		"runtime":        {"x = 1\nwindow_s = 1 // 0", "p.star:2"},
		"out of range":   {"spare = 7", "spare"},
		"wrong type":     {"spot = 1", "spot"},
		"too many steps": {"for i in range(1 << 40):\n    x = i\n", "steps"},
		"loads a module": {`load("other.star", "x")`, "load"},
	} {
		_, err := LoadPolicy(writeFile(t, "p.star", c.script), s)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line on %q", name, err, c.want)
		}
	}
	if p, err := LoadPolicy(filepath.Join(t.TempDir(), "none.star"), s); err != nil || p != DefaultPolicy() {
		t.Errorf("without a script got %+v, %v", p, err)
	}
}

// The next limits may omit those that do not change. The lowest limits are the lower of
// the current and the next ones.
func TestNextStateLimits(t *testing.T) {
	s, err := Load(writeFile(t, "s.toml", validSettings+"[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 99.0\n"))
	if err != nil {
		t.Fatal(err)
	}
	current := StateLimits{RPS: 100, WriteRPS: 10, ValueKB: 4, TxnOps: 8}
	if s.Params.State.StateLimits != current {
		t.Errorf("got current limits %+v, want 100 requests, 10 changes, 4 KiB and 8 changes per transaction", s.Params.State.StateLimits)
	}
	lowest := current
	lowest.ValueKB, lowest.TxnOps = 2, 5
	if got := s.Params.State.LowestLimits(); got != lowest {
		t.Errorf("got lowest limits %+v, want 100 requests, 10 changes, 2 KiB and 5 changes per transaction", got)
	}
	if _, err := Load(writeFile(t, "s.toml", validSettings+"[params.state.next]\nvalue_kb = -2.0\n")); err == nil || !strings.Contains(err.Error(), "state.next") {
		t.Errorf("negative next limit: got %v, want an error on state.next", err)
	}
}
