package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machineType is a type that the cloud rents out, with its capacity by zone and kind.
type machineType struct {
	name                 string
	cpus, gpus, memoryGB float64
	price, spotPrice     float64
	bootS                float64
	// count and spot are the machines in each zone.
	count, spot map[string]int
}

// instance is a rented machine.
type instance struct {
	name, typ, zone    string
	spot               bool
	rentedAt, bootedAt time.Time
	address            string
	failed             bool
	goneAt             time.Time
}

// cloudService is the stand-in of the cloud. Its list lags by list_lag_s.
type cloudService struct {
	w         *world
	mu        sync.Mutex
	instances []*instance
	byHire    map[string][]string
	// taken holds what is rented of each offer.
	taken map[string]int
	// reduced holds the offers of which fewer machines are to be had for a while.
	reduced map[string]int
}

func newCloudService(w *world) *cloudService {
	return &cloudService{w: w, byHire: map[string][]string{}, taken: map[string]int{}, reduced: map[string]int{}}
}

func offerName(typ, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/spot=%v", typ, zone, spot)
}

// limit returns how many machines of an offer the cloud has in all.
func (c *cloudService) limit(t *machineType, zone string, spot bool) int {
	n := t.count[zone]
	if spot {
		n = t.spot[zone]
	}
	if reduced, ok := c.reduced[offerName(t.name, zone, spot)]; ok {
		n = min(n, reduced)
	}
	return n
}

// reduce sets what the cloud has of a type in a zone to shares of the usual, rounded down, and ends
// that after a while.
func (c *cloudService) reduce(typ, zone string, count, spot float64, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.w.cfg.machineType(typ)
	c.reduced[offerName(typ, zone, false)] = int(count * float64(t.count[zone]))
	c.reduced[offerName(typ, zone, true)] = int(spot * float64(t.spot[zone]))
	c.w.rec.add("TROUBLE begins: the cloud has fewer machines of %s in %s (count %.1f, spot %.1f)", typ, zone, count, spot)
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.reduced, offerName(typ, zone, false))
		delete(c.reduced, offerName(typ, zone, true))
		c.w.rec.add("TROUBLE ends: the cloud has all machines of %s in %s again", typ, zone)
	})
}

// die makes a machine stop with all that is on it. The cloud has no other in its place.
func (c *cloudService) die(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.instances {
		if m.name == name {
			m.failed = true
		}
	}
	c.w.fleet.remove(name)
	c.w.rec.add("TROUBLE: machine %s stops with all that is on it", name)
}

func (c *cloudService) handler(node int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case r.URL.Path == "/catalog":
			c.catalog(rw)
		case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
			c.rent(rw, body, node)
		case r.URL.Path == "/rentals/release":
			c.release(rw, body, node)
		case r.URL.Path == "/rentals":
			c.list(rw, r)
		default:
			problem(rw, 400, "no such path")
		}
	})
}

func (c *cloudService) catalog(rw http.ResponseWriter) {
	builds := []map[string]any{}
	for _, t := range c.w.cfg.types {
		zones := []string{}
		for _, zone := range c.w.cfg.zones {
			if t.count[zone]+t.spot[zone] > 0 {
				zones = append(zones, zone)
			}
		}
		builds = append(builds, map[string]any{"name": t.name, "vcpus": t.cpus, "accelerators": t.gpus, "memoryGb": t.memoryGB,
			"cacheGb": 100.0, "pullGbPerS": 10.0, "hourly": t.price, "lowPrice": t.spotPrice, "startupS": t.bootS, "yards": zones})
	}
	reply(rw, 200, map[string]any{"builds": builds})
}

func (c *cloudService) rent(rw http.ResponseWriter, body []byte, node int) {
	var in struct {
		Hire, Build, Yard string
		Loaners           bool
		Count             int
	}
	if json.Unmarshal(body, &in) != nil || in.Count < 1 || in.Count > 50 || c.w.cfg.machineType(in.Build) == nil {
		problem(rw, 400, "malformed")
		return
	}
	if names, known := c.byHire[in.Hire]; known {
		reply(rw, 200, map[string]any{"hands": names})
		return
	}
	t, offer := c.w.cfg.machineType(in.Build), offerName(in.Build, in.Yard, in.Loaners)
	n := min(in.Count, c.limit(t, in.Yard, in.Loaners)-c.taken[offer])
	if n <= 0 {
		problem(rw, 503, "no capacity")
		c.w.rec.add("cloud: no capacity of %s for hand-%d", offer, node)
		return
	}
	names := []string{}
	for range n {
		m := &instance{name: fmt.Sprintf("vm-%06d", len(c.instances)+1), typ: in.Build, zone: in.Yard, spot: in.Loaners, rentedAt: time.Now()}
		c.instances = append(c.instances, m)
		names = append(names, m.name)
		c.taken[offer]++
		time.AfterFunc(time.Duration(t.bootS*float64(time.Second)), func() { c.boot(m, t) })
	}
	c.byHire[in.Hire] = names
	c.w.rec.add("cloud: rented %d of %d %s to hand-%d: %s", n, in.Count, offer, node, strings.Join(names, " "))
	reply(rw, 200, map[string]any{"hands": names})
}

func (c *cloudService) boot(m *instance, t *machineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.goneAt.IsZero() && !m.failed && c.w.ctx.Err() == nil {
		m.bootedAt = time.Now()
		m.address = c.w.fleet.add(m, t)
	}
}

func (c *cloudService) release(rw http.ResponseWriter, body []byte, node int) {
	var in struct{ Hands []string }
	if json.Unmarshal(body, &in) != nil || len(in.Hands) > 100 {
		problem(rw, 400, "malformed")
		return
	}
	for _, m := range c.instances {
		if slices.Contains(in.Hands, m.name) && m.goneAt.IsZero() {
			m.goneAt = time.Now()
			if !m.failed {
				c.taken[offerName(m.typ, m.zone, m.spot)]--
			}
			c.w.fleet.remove(m.name)
			c.w.rec.add("cloud: %s released by hand-%d", m.name, node)
		}
	}
	reply(rw, 200, map[string]any{})
}

func (c *cloudService) list(rw http.ResponseWriter, r *http.Request) {
	since := r.URL.Query().Get("since")
	page, err := strconv.Atoi(r.URL.Query().Get("page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	asOf := time.Now().Add(-time.Duration(c.w.cfg.listLagS * float64(time.Second)))
	hands, truncated := []map[string]any{}, false
	for _, m := range c.instances {
		if m.name <= since || m.rentedAt.After(asOf) || !m.goneAt.IsZero() && m.goneAt.Before(asOf) {
			continue
		}
		if len(hands) == page {
			truncated = true
			break
		}
		stance := "running"
		if m.bootedAt.IsZero() || m.bootedAt.After(asOf) {
			stance = "booting"
		}
		if m.failed {
			stance = "failed"
		}
		hands = append(hands, map[string]any{"uid": m.name, "address": m.address, "build": m.typ, "yard": m.zone,
			"loaners": m.spot, "stance": stance, "ageS": asOf.Sub(m.rentedAt).Seconds()})
	}
	reply(rw, 200, map[string]any{"hands": hands, "truncated": truncated})
}
