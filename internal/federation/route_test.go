package federation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// routed is a gateway at "a" with peers b and c, and some jobs away.
func routed(change func(c *Config), away ...Outgoing) *Coordinator {
	c := simConfig("a")
	if change != nil {
		change(c)
	}
	m := New(c, 1)
	records := Records{}.copy()
	for i, a := range away {
		a.Epoch = Epoch(i + 1)
		records.Outgoing["req-away-"+string(a.To)+string(rune('0'+i))] = a
		records.LastEpochs[a.To] = a.Epoch
	}
	m.Step(time.Second, RecordsLoaded{records})
	for _, p := range c.Peers {
		m.peer(p.Site).recordsCompared = true
	}
	return m
}

func TestJobsGoWhereTheyMay(t *testing.T) {
	at := func(s Site, class string) Outgoing { return Outgoing{To: s, Ticket: Ticket{Class: class}} }
	full := []Outgoing{at("b", "k"), at("b", "once")}
	for name, c := range map[string]struct {
		change func(c *Config)
		away   []Outgoing
		job    WaitingJob
		to     Site
		why    string
	}{
		"the preferred site":      {job: WaitingJob{Class: "k"}, to: "b"},
		"a class that stays":      {job: WaitingJob{Class: "other"}, why: "class goes nowhere"},
		"has just come":           {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{Class: "k", Waited: time.Second}, why: "has not waited for long enough"},
		"has waited":              {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{Class: "k", Waited: time.Minute}, to: "b"},
		"preferred one is full":   {away: full, job: WaitingJob{Class: "k"}, to: "c"},
		"preferred one drains":    {change: func(c *Config) { c.Peers[0].Drained = true }, job: WaitingJob{Class: "k"}, to: "c"},
		"not back where it was":   {job: WaitingJob{Class: "k", Path: []Site{"b"}}, to: "c"},
		"too many sites":          {job: WaitingJob{Class: "k", Path: []Site{"x", "y", "z"}}, why: "has come through too many sites"},
		"class has its number":    {change: func(c *Config) { c.Classes[0].MaxOutgoing = 1 }, away: full, job: WaitingJob{Class: "k"}, why: "as many of its class are away as may be"},
		"all sites full":          {change: func(c *Config) { c.Peers[1].MaxOutgoing = 0 }, away: full, job: WaitingJob{Class: "k"}, why: "as many are there as may be"},
		"refused there, the next": {job: WaitingJob{ID: "req-refused", Class: "k"}, to: "c"},
		"work waits there longer": {job: WaitingJob{ID: "req-late", Class: "k", Waited: 10 * time.Second}, to: "c"},
		"work waits here longer":  {job: WaitingJob{ID: "req-late", Class: "k", Waited: time.Minute}, to: "b"},
		"here it could never run": {change: func(c *Config) { c.Classes[0].OfferAfterS = 60 }, job: WaitingJob{ID: "req-late", Class: "k", InfeasibleHere: true}, to: "b"},
		"a zone that only c has": {change: func(c *Config) { c.Peers[0].Zones, c.Peers[1].Zones = []string{"n"}, []string{"s"} },
			job: WaitingJob{Class: "k", Zone: "s"}, to: "c"},
		"a type that only c has": {change: func(c *Config) { c.Peers[0].Types, c.Peers[1].Types = []string{"cpu"}, []string{"gpu"} },
			job: WaitingJob{Class: "k", Types: []string{"gpu", "tpu"}}, to: "c"},
		"a zone that nobody has": {change: func(c *Config) { c.Peers[0].Zones, c.Peers[1].Zones = []string{"n"}, []string{"s"} },
			job: WaitingJob{Class: "k", Zone: "x"}, why: "site has not the zone"},
	} {
		m := routed(c.change, c.away...)
		m.rejected[rejectionKey{"req-refused", "b"}] = true
		if c.job.ID == "req-late" {
			m.peer("b").longestWaitS, m.peer("b").loadReceivedAt = 30, m.now
		}
		if to, why := m.route(c.job); to != c.to || why != c.why {
			t.Errorf("%s: goes to %q (%s)", name, to, why)
		}
	}
}

func TestOffersAreTakenOrRefusedWithAReason(t *testing.T) {
	good := Ticket{Origin: "b", To: "a", JobID: "req-1", Class: "k", Epoch: 4, Path: []Site{"b"}}
	for name, c := range map[string]struct {
		change func(c *Config, t *Ticket)
		why    string
	}{
		"a good one":           {func(*Config, *Ticket) {}, ""},
		"a stranger's":         {func(_ *Config, t *Ticket) { t.Origin = "x" }, "site is unknown"},
		"while draining":       {func(c *Config, _ *Ticket) { c.Peers[0].Drained = true }, "site is drained"},
		"came through here":    {func(_ *Config, t *Ticket) { t.Path = []Site{"a", "b"} }, "path is a loop or too long"},
		"without a path":       {func(_ *Config, t *Ticket) { t.Path = nil }, "path is a loop or too long"},
		"a class not taken":    {func(_ *Config, t *Ticket) { t.Class = "secret" }, "class is not taken from there"},
		"none taken from them": {func(c *Config, _ *Ticket) { c.Peers[0].MaxIncoming = 0 }, reasonBusy},
	} {
		ticket := good
		m := routed(func(cfg *Config) { c.change(cfg, &ticket) })
		if why := m.rejectionReason(ticket, ""); why != c.why {
			t.Errorf("%s: %q", name, why)
		}
	}
}

// A peer that does not answer used up tries for every hand-off in flight, and a
// crowd of tries at once was taken for as many silences.
func TestBreakerLeavesASilentPeerAloneAndProbesIt(t *testing.T) {
	c := Default()
	var b circuitBreaker
	tries, open := []time.Duration{}, time.Duration(0)
	for now := time.Second; now < 10*time.Minute; now += 100 * time.Millisecond {
		b.checkTimeout(now, &c)
		if !b.allows(now) {
			open = max(open, now)
			continue
		}
		for range 100 { // as long as it is closed, all go
			if b.allows(now) {
				b.onTry(now, &c)
				tries = append(tries, now)
			}
		}
	}
	late := tries[len(tries)-3:]
	if opened := time.Duration(c.BreakerThreshold) * seconds(c.RetryS); tries[99] != time.Second || tries[1000] > opened+time.Second {
		t.Errorf("opens at once: try 1000 at %v", tries[1000])
	}
	if late[2]-late[1] < seconds(c.RetryMaxS) || late[1]-late[0] < seconds(c.RetryMaxS) {
		t.Errorf("probes at %v", late)
	}
	b.close()
	if !b.allows(open) {
		t.Error("an answer does not close it")
	}
}

// Without answers repeated tries are a few a second, however many hand-offs are in
// flight; with them the pace rises.
func TestRepeatedTriesFollowTheAnswers(t *testing.T) {
	sent := map[bool]int{}
	for _, answers := range []bool{false, true} {
		m := routed(func(c *Config) { c.Peers[0].MaxOutgoing, c.RetryRate, c.BreakerThreshold = 1000, 5, 1<<30 })
		r := Records{}.copy()
		for i := range 500 {
			r.Outgoing[fmt.Sprint("req-", i)] = Outgoing{Epoch: Epoch(i + 1), To: "b"}
		}
		m.Step(2*time.Second, RecordsLoaded{r})
		const span = 30
		last := 0
		for s := range span {
			var in []Input
			for i := 0; answers && i < last; i++ {
				in = append(in, MessageReceived{Message: Message{From: "b", To: "a", Kind: KindLoad}})
			}
			last = 0
			for _, e := range m.Step(time.Duration(s+3)*time.Second, in...) {
				if send, ok := e.(Send); ok && send.Message.Kind == KindOffer {
					last++
				}
			}
			sent[answers] += last
		}
		if most := span*5 + maxRetryBudget; !answers && sent[answers] > most {
			t.Errorf("%d messages without an answer, %d are allowed", sent[answers], most)
		}
	}
	if sent[true] < 2*sent[false] {
		t.Errorf("%d messages with answers, %d without", sent[true], sent[false])
	}
}

// After a long cut the first word waited for the longest pause.
func TestReachablePeerIsToldAtOnce(t *testing.T) {
	m := routed(nil, Outgoing{To: "b"})
	now := 2 * time.Second
	for ; now < 5*time.Minute; now += time.Second {
		m.Step(now) // nothing answers
	}
	tell := func(in ...Input) (n int) {
		for _, e := range m.Step(now, in...) {
			if s, ok := e.(Send); ok && s.Message.To == "b" && s.Message.Kind == KindOffer {
				n++
			}
		}
		return n
	}
	if before, after := tell(), tell(PeerReachable{"b"}); before != 0 || after != 1 {
		t.Errorf("told %d times before it was reachable, %d then", before, after)
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
		"class allows it":        {GiveUp{JobID: "req-away-b0", Operator: "ana", Reason: "burnt down"}, ""},
		"class does not":         {GiveUp{JobID: "req-away-b1", Operator: "ana", Reason: "burnt down"}, "class once does not allow a repeat"},
		"nobody says it":         {GiveUp{JobID: "req-away-b0", Reason: "burnt down"}, "who gives it up, and why, must be said"},
		"nothing to be given up": {GiveUp{JobID: "req-x", Operator: "ana", Reason: "burnt down"}, "job is not away"},
	} {
		m := routed(nil, Outgoing{To: "b", Ticket: Ticket{Class: "k"}}, Outgoing{To: "b", Ticket: Ticket{Class: "once"}})
		got, stored := "", false // what is left to be written if it is let through
		for _, e := range m.Step(2*time.Second, c.in) {
			switch e := e.(type) {
			case Answer:
				got = e.Error
			case StoreWrite:
				stored = true
			}
		}
		if got != c.want || stored != (c.want == "") {
			t.Errorf("%s: %q, written %v", name, got, stored)
		}
	}
}

func TestGatewayFilesAreChecked(t *testing.T) {
	if c, err := Load("../../deploy/gateway.toml"); err != nil || !c.MayOffer("nightly", time.Minute) {
		t.Errorf("the file under deploy: %v", err)
	}
	const good = "site = \"a\"\n[[peers]]\nsite = \"b\"\naddresses = [\"127.0.0.1:1\"]\nat_once = 3\n"
	for text, want := range map[string]string{
		good: "",
		good + "[[classes]]\nname = \"k\"\nto = [\"b\"]\n": "",
		"":                 "is missing",
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
		case want == "" && (err != nil || c.Peers[0].MaxOutgoing != 3 || c.MaxHops == 0):
			t.Errorf("%q: got %+v, %v", text, c, err)
		case want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%q: got %v", text, err)
		}
	}
}
