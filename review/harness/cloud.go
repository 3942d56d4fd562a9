package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machineType is an entry of the catalog, with the places that the cloud has in each zone.
type machineType struct {
	Name         string   `json:"name"`
	CPUs         float64  `json:"vcpus"`
	Accelerators float64  `json:"accelerators"`
	MemoryGB     float64  `json:"memoryGb"`
	CacheGB      float64  `json:"cacheGb"`
	PullGBPerS   float64  `json:"pullGbPerS"`
	Hourly       float64  `json:"hourly"`
	LowPrice     float64  `json:"lowPrice"`
	StartupS     float64  `json:"startupS"`
	Yards        []string `json:"yards"`
	places       map[bool]int
	only         map[string]bool // zones that have any; nil for all
}

type vm struct {
	name, typ, zone, address string
	loaners                  bool
	rented, up, gone         time.Time
}

// Cloud is a stand-in for the cloud. Machines are up bootS after their rental.
type Cloud struct {
	mu      sync.Mutex
	site    *Site
	types   []*machineType
	bootS   float64
	lagS    float64
	vms     []*vm
	rentals map[string][]string
	calls   *bucket
}

func newCloud(site *Site, types []*machineType, bootS, lagS, rps float64) *Cloud {
	return &Cloud{site: site, types: types, bootS: bootS, lagS: lagS, rentals: map[string][]string{}, calls: newBucket(rps, 2*rps)}
}

func (c *Cloud) typeOf(name string) *machineType {
	for _, t := range c.types {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// ServeHTTP answers a call to the cloud.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.calls.take(1) {
		answer(w, 429, map[string]any{"error": "too many calls"})
		return
	}
	switch {
	case r.URL.Path == "/catalog":
		answer(w, 200, map[string]any{"builds": c.types})
	case r.URL.Path == "/rentals" && r.Method == "POST":
		c.rent(w, r)
	case r.URL.Path == "/rentals/release" && r.Method == "POST":
		var in struct{ Hands []string }
		json.NewDecoder(r.Body).Decode(&in)
		for _, name := range in.Hands {
			for _, v := range c.vms {
				if v.name == name && v.gone.IsZero() {
					v.gone = time.Now()
					c.site.rec("cloud: machine %s returned", name)
					c.site.stopWorker(name)
				}
			}
		}
		answer(w, 200, map[string]any{})
	case r.URL.Path == "/rentals":
		c.list(w, r)
	default:
		answer(w, 400, map[string]any{"error": "no such path"})
	}
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Hire, Build, Yard string
		Loaners           bool
		Count             int
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Hire == "" || in.Count < 1 || in.Count > 50 || c.typeOf(in.Build) == nil {
		answer(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if names, ok := c.rentals[in.Hire]; ok {
		answer(w, 200, map[string]any{"hands": names})
		return
	}
	free := c.typeOf(in.Build).places[in.Loaners]
	if only := c.typeOf(in.Build).only; only != nil && !only[in.Yard] {
		free = 0
	}
	for _, v := range c.vms {
		if v.typ == in.Build && v.zone == in.Yard && v.loaners == in.Loaners && v.gone.IsZero() {
			free--
		}
	}
	if free <= 0 {
		answer(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	names := []string{}
	for range min(free, in.Count) {
		now := time.Now()
		v := &vm{name: fmt.Sprintf("vm-%06d", len(c.vms)+1), typ: in.Build, zone: in.Yard, loaners: in.Loaners, rented: now, up: now.Add(time.Duration(c.bootS * float64(time.Second)))}
		c.vms = append(c.vms, v)
		names = append(names, v.name)
		n := len(c.vms)
		time.AfterFunc(time.Until(v.up), func() {
			c.mu.Lock()
			gone := !v.gone.IsZero()
			c.mu.Unlock()
			if !gone {
				address := c.site.startWorker(v, c.typeOf(v.typ), n)
				c.mu.Lock()
				v.address = address
				c.mu.Unlock()
			}
		})
	}
	c.rentals[in.Hire] = names
	c.site.rec("cloud: rented %v (%s, %s, spot %v)", names, in.Build, in.Yard, in.Loaners)
	answer(w, 200, map[string]any{"hands": names})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since := q.Get("since")
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > 500 {
		page = 500
	}
	asOf := time.Now().Add(-time.Duration(c.lagS * float64(time.Second)))
	hands, truncated := []any{}, false
	for _, v := range c.vms {
		if v.name <= since || v.rented.After(asOf) || !v.gone.IsZero() && v.gone.Before(asOf) {
			continue
		}
		if len(hands) == page {
			truncated = true
			break
		}
		stance := "running"
		if v.up.After(asOf) {
			stance = "booting"
		}
		hands = append(hands, map[string]any{"uid": v.name, "address": v.address, "build": v.typ, "yard": v.zone, "loaners": v.loaners, "stance": stance, "ageS": asOf.Sub(v.rented).Seconds()})
	}
	answer(w, 200, map[string]any{"hands": hands, "truncated": truncated})
}
