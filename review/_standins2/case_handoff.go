package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["handed-off"] = handedOff }

// pair is two sites that hand off jobs, and the links between their gateways.
type pair struct {
	east, west *world
	links      []*link
}

func openPair(r *caseRun) (*pair, verdict) {
	p := &pair{}
	keys := filepath.Join(r.dir, "keys")
	out, err := exec.Command(filepath.Join(r.root, "target", "pepperlever"), "gateway", "keys", "--dir", keys, "--sites", "east,west").CombinedOutput()
	if err != nil {
		r.rec.add("COULD NOT RUN: gateway keys: %v %s", err, out)
		return nil, couldNot
	}
	sites := []*config{kelani(), kelani()}
	names := []string{"east", "west"}
	zones := [][]string{{"galle-rack", "colombo-hall"}, {"kandy-room"}}
	listens := [][]string{}
	worlds := []*world{}
	for i, cfg := range sites {
		cfg.site, cfg.zones = names[i], zones[i]
		boot := 2.0
		if i == 1 {
			boot = 1e6 // the other site's machines never come up, so jobs wait there
		}
		cfg.types = []*machineType{{name: "sixteen-builder", cpus: 16, memoryGB: 64, price: 0.97, spotPrice: 0.38, bootS: boot, count: map[string]int{cfg.zones[0]: 2}}}
		addresses := []string{}
		for range cfg.controllers {
			addresses = append(addresses, freeAddress())
		}
		listens = append(listens, addresses)
		cfg.gateway = func(node int) []string {
			return []string{"--gateway", filepath.Join(r.dir, fmt.Sprintf("%s-%d-gateway.toml", names[i], node))}
		}
		w, err := openWorld(r.ctx, cfg, r.root, r.dir, r.rec)
		if err != nil {
			r.rec.add("COULD NOT RUN: %v", err)
			return nil, couldNot
		}
		worlds = append(worlds, w)
	}
	p.east, p.west = worlds[0], worlds[1]
	for i := range sites {
		other := 1 - i
		var addresses []string
		for _, to := range listens[other] {
			l, err := newLink(worlds[i].ctx, to)
			if err != nil {
				r.rec.add("COULD NOT RUN: %v", err)
				return nil, couldNot
			}
			p.links = append(p.links, l)
			addresses = append(addresses, fmt.Sprintf("%q", l.address))
		}
		for node, listen := range listens[i] {
			text := fmt.Sprintf("site = %q\nlisten = %q\nauthority = %q\ncertificate = %q\nkey = %q\nticket_keys = %q\nretry_s = 1.0\nretry_max_s = 4.0\n\n"+
				"[[peers]]\nsite = %q\naddresses = [%s]\nat_once = 200\ntakes = 200\nzones = [%q]\n\n[[classes]]\nname = \"nightly\"\nrepeat = false\naccept = [%q]\n",
				names[i], listen, filepath.Join(keys, "authority.pem"), filepath.Join(keys, names[i]+".pem"), filepath.Join(keys, names[i]+"-key.pem"),
				filepath.Join(keys, "tickets.toml"), names[other], strings.Join(addresses, ", "), zones[other][0], names[other])
			if i == 0 {
				text += "to = [\"west\"]\nafter_s = 30.0\n"
			}
			if err := os.WriteFile(filepath.Join(r.dir, fmt.Sprintf("%s-%d-gateway.toml", names[i], node)), []byte(text), 0o600); err != nil {
				r.rec.add("COULD NOT RUN: %v", err)
				return nil, couldNot
			}
		}
	}
	for _, w := range worlds {
		if err := w.startControllers(); err != nil {
			r.rec.add("COULD NOT RUN: %v", err)
			p.close()
			return nil, couldNot
		}
	}
	return p, held
}

func (p *pair) close() {
	p.east.close()
	p.west.close()
}

// handedOff: the link between two sites drops while a job is handed off, and all controllers of its
// origin crash. Its user asks the origin, which answers questions about all other jobs.
func handedOff(r *caseRun) verdict {
	p, v := openPair(r)
	if p == nil {
		return v
	}
	defer p.close()
	w := p.east
	yard := "kandy-room"
	away := &jobSpec{UID: "req-000001", LeverClass: "nightly", Crew: "oncall-crew-0", Shape: "batch", Urgency: "normal", Pieces: 1,
		VCPUs: 2, MemoryGB: 2, Bundle: "img-01", PullGB: 1, Yard: &yard, GuessS: 300}
	here := &jobSpec{UID: "req-000002", LeverClass: "package-builds", Crew: "oncall-crew-0", Shape: "batch", Urgency: "normal", Pieces: 1,
		VCPUs: 2, MemoryGB: 2, Bundle: "img-01", PullGB: 1, GuessS: 300}
	if !w.submit(away) || !w.submit(here) {
		return couldNot
	}
	accepted := func() bool {
		out, _ := exec.CommandContext(r.ctx, filepath.Join(r.root, "target", "pepperlever"), "gateway", "status", "--to", w.ctrls[0].bind, "--json").Output()
		return strings.Contains(string(out), `"away":{"accepted":1}`) || strings.Contains(string(out), `"away":{"running":1}`)
	}
	if !w.await(12*time.Second, accepted) {
		out, err := exec.CommandContext(r.ctx, filepath.Join(r.root, "target", "pepperlever"), "gateway", "status", "--to", w.ctrls[0].bind, "--json").CombinedOutput()
		w.fail("the job was not handed off: %s %v", out, err)
		return couldNot
	}
	r.rec.add("the other site has accepted %s", away.UID)
	if r.trouble {
		r.rec.add("TROUBLE: the link between the sites drops")
		for _, l := range p.links {
			l.set(refusing)
		}
		for i := range w.ctrls {
			w.crash(i)
		}
	}
	if !w.await(20*time.Second, func() bool { s, _ := w.poll(here.UID); return s == 200 }) {
		w.fail("the origin does not serve again")
		return couldNot
	}
	began, asked, others, otherAnswers := time.Now(), 0, 0, 0
	for time.Since(began) < 91*time.Second {
		if w.ctx.Err() != nil {
			w.fail("time is over")
			return couldNot
		}
		asked++
		if s, _ := w.poll(away.UID); s == 200 {
			if !r.trouble && asked < 5 {
				wait(w.ctx, 2*time.Second)
				continue
			}
			r.rec.add("%s is answered", away.UID)
			return held
		}
		others++
		if s, _ := w.poll(here.UID); s == 200 {
			otherAnswers++
		}
		wait(w.ctx, 2*time.Second)
	}
	r.rec.add("%d questions about %s in %.0f s, none answered; %d of %d about %s answered", asked, away.UID, time.Since(began).Seconds(), otherAnswers, others, here.UID)
	if otherAnswers*2 > others {
		r.rec.add("BROKEN: %s is forgotten", away.UID)
		return broken
	}
	return held
}
