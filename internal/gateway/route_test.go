package gateway

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// routed is a gateway at "a" with peers b and c, and some jobs away.
func routed(change func(c *Config), away ...Away) *Machine {
	c := simConfig("a")
	if change != nil {
		change(c)
	}
	m := New(c, 1)
	records := Records{Away: map[string]Away{}, Taken: map[Hold]Taken{}}
	for i, a := range away {
		a.Epoch = Epoch(i + 1)
		records.Away["req-away-"+string(a.To)+string(rune('0'+i))] = a
	}
	records.Last = Epoch(len(away))
	m.Step(time.Second, Loaded{records})
	return m
}

func TestJobsGoWhereTheyMay(t *testing.T) {
	at := func(s Site, class string) Away { return Away{To: s, Ticket: Ticket{Class: class}} }
	full := []Away{at("b", "k"), at("b", "once")}
	for name, c := range map[string]struct {
		change func(c *Config)
		away   []Away
		job    Job
		to     Site
		why    string
	}{
		"the preferred site":      {job: Job{Class: "k"}, to: "b"},
		"a class that stays":      {job: Job{Class: "other"}, why: "class goes nowhere"},
		"has just come":           {change: func(c *Config) { c.Class[0].AfterS = 60 }, job: Job{Class: "k", Waited: time.Second}, why: "has not waited for long enough"},
		"has waited":              {change: func(c *Config) { c.Class[0].AfterS = 60 }, job: Job{Class: "k", Waited: time.Minute}, to: "b"},
		"preferred one is full":   {away: full, job: Job{Class: "k"}, to: "c"},
		"preferred one drains":    {change: func(c *Config) { c.Peers[0].Drain = true }, job: Job{Class: "k"}, to: "c"},
		"not back where it was":   {job: Job{Class: "k", Path: []Site{"b"}}, to: "c"},
		"too many sites":          {job: Job{Class: "k", Path: []Site{"x", "y", "z"}}, why: "has come through too many sites"},
		"class has its number":    {change: func(c *Config) { c.Class[0].AtOnce = 1 }, away: full, job: Job{Class: "k"}, why: "as many of its class are away as may be"},
		"all sites full":          {change: func(c *Config) { c.Peers[1].AtOnce = 0 }, away: full, job: Job{Class: "k"}, why: "as many are there as may be"},
		"refused there, the next": {change: func(*Config) {}, job: Job{ID: "req-refused", Class: "k"}, to: "c"},
	} {
		m := routed(c.change, c.away...)
		m.refused[refusal{"req-refused", "b"}] = true
		if to, why := m.route(c.job); to != c.to || why != c.why {
			t.Errorf("%s: goes to %q (%s)", name, to, why)
		}
	}
}

func TestOffersAreTakenOrRefusedWithAReason(t *testing.T) {
	good := Ticket{Origin: "b", Job: "req-1", Class: "k", Epoch: 4, Path: []Site{"b"}}
	for name, c := range map[string]struct {
		change func(c *Config, t *Ticket)
		why    string
	}{
		"a good one":           {func(*Config, *Ticket) {}, ""},
		"a stranger's":         {func(_ *Config, t *Ticket) { t.Origin = "x" }, "site is unknown"},
		"while draining":       {func(c *Config, _ *Ticket) { c.Peers[0].Drain = true }, "site is drained"},
		"came through here":    {func(_ *Config, t *Ticket) { t.Path = []Site{"a", "b"} }, "path is a loop or too long"},
		"without a path":       {func(_ *Config, t *Ticket) { t.Path = nil }, "path is a loop or too long"},
		"a class not taken":    {func(_ *Config, t *Ticket) { t.Class = "secret" }, "class is not taken from there"},
		"none taken from them": {func(c *Config, _ *Ticket) { c.Peers[0].Takes = 0 }, busy},
	} {
		ticket := good
		m := routed(func(cfg *Config) { c.change(cfg, &ticket) })
		if why := m.refuses(ticket); why != c.why {
			t.Errorf("%s: %q", name, why)
		}
	}
}

// A peer that does not answer used up tries for every hand-off in flight.
func TestBreakerLeavesASilentPeerAloneAndProbesIt(t *testing.T) {
	c := Default()
	var b breaker
	now := time.Duration(0)
	for range c.BreakAfter {
		if !b.allows(now) {
			t.Fatal("opens too early")
		}
		b.tried(now, true, &c)
	}
	tries, last := 0, time.Duration(0)
	for ; now < 10*time.Minute; now += 100 * time.Millisecond {
		if b.allows(now) {
			b.tried(now, true, &c)
			if gap := now - last; tries > 6 && gap < seconds(c.RetryMaxS) {
				t.Fatalf("probe after %v", gap)
			}
			tries, last = tries+1, now
		}
	}
	if tries < 8 || tries > 16 {
		t.Errorf("%d probes in ten minutes", tries)
	}
	b.answered()
	if !b.allows(now) {
		t.Error("an answer does not close it")
	}
}

func TestRepeatedTriesAreBounded(t *testing.T) {
	m := routed(func(c *Config) { c.Peers[0].AtOnce, c.RetriesPerS, c.BreakAfter = 1000, 5, 1<<30 }, make([]Away, 0)...)
	for i := range 500 {
		m.records.Away["req-"+string(rune('a'+i%26))+string(rune('a'+i/26))] = Away{Epoch: Epoch(i + 1), To: "b"}
	}
	sent := 0
	const span = 60
	for s := range span {
		sent += len(m.Step(time.Duration(s+2) * time.Second))
	}
	if most := 500 + span*5 + budgetMost; sent > most || sent < 500 {
		t.Errorf("%d messages in a minute, of which 500 are first ones", sent)
	}
}

func TestJitterSpreadsAroundThePause(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		if d := jitter(rng, time.Second); d < time.Second/2 || d >= 3*time.Second/2 {
			t.Fatalf("a pause of a second became %v", d)
		}
	}
}

func TestOperatorsWordIsBoundByTheClass(t *testing.T) {
	for name, c := range map[string]struct {
		in   GiveUp
		want string
	}{
		"class allows it":        {GiveUp{Job: "req-away-b0", Operator: "ana", Why: "burnt down"}, ""},
		"class does not":         {GiveUp{Job: "req-away-b1", Operator: "ana", Why: "burnt down"}, "class once does not allow a repeat"},
		"nobody says it":         {GiveUp{Job: "req-away-b0", Why: "burnt down"}, "who gives it up, and why, must be said"},
		"nothing to be given up": {GiveUp{Job: "req-x", Operator: "ana", Why: "burnt down"}, "job is not away"},
	} {
		m := routed(nil, Away{To: "b", Ticket: Ticket{Class: "k"}}, Away{To: "b", Ticket: Ticket{Class: "once"}})
		got, stored := "", false
		for _, e := range m.Step(2*time.Second, c.in) {
			switch e := e.(type) {
			case Answer:
				got = e.Err
			case Store:
				stored = true
			}
		}
		if got != c.want || stored != (c.want == "") {
			t.Errorf("%s: %q, written %v", name, got, stored)
		}
	}
}

func TestGatewayFilesAreChecked(t *testing.T) {
	const good = "site = \"a\"\n[[peers]]\nsite = \"b\"\naddress = \"127.0.0.1:1\"\nat_once = 3\n"
	for text, want := range map[string]string{
		good: "",
		good + "[[classes]]\nname = \"k\"\nto = [\"b\"]\n": "",
		"":                 "site is missing",
		good + "hop = 3\n": "line 6: unknown key",
		"site = \"b\"\n" + good[len("site = \"a\"\n"):]:    "this site, empty or named twice",
		good + "[[classes]]\nname = \"k\"\nto = [\"x\"]\n": "which is no peer",
		"retry_s = 0.0\n" + good:                           "must be positive",
	} {
		path := filepath.Join(t.TempDir(), "gateway.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Load(path)
		switch {
		case want == "" && (err != nil || c.Peers[0].AtOnce != 3 || c.Hops == 0):
			t.Errorf("%q: got %+v, %v", text, c, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%q: got %v", text, err)
		}
	}
}
