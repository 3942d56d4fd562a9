package federation

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"pepperlever/internal/strictconfig"
)

// Config is the gateway's file. Times are in seconds.
type Config struct {
	Site Site `toml:"site"`
	// RetryS is the first pause between two tries of the same, RetryMaxS the longest.
	RetryS    float64 `toml:"retry_s"`
	RetryMaxS float64 `toml:"retry_max_s"`
	// RetryRate is how many repeated tries a second all hand-offs to one peer share.
	RetryRate float64 `toml:"retries_per_s"`
	// BreakerThreshold is how many tries in a row without an answer open a peer's breaker.
	BreakerThreshold int `toml:"break_after"`
	// MaxHops bounds the sites that a job may pass through.
	MaxHops int `toml:"hops"`
	// LoadMaxAgeS is for how long a peer's word on its waiting work counts.
	LoadMaxAgeS float64 `toml:"room_age_s"`
	// Listen is where this controller takes peers' streams.
	Listen string `toml:"listen"`
	// Authority, Certificate and Key are PEM files for mutual TLS. Certificates name
	// the site as their DNS name.
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// TicketKeys is the file of the keys that sign tickets.
	TicketKeys string `toml:"ticket_keys"`
	// MaxForget is how many decisions one write may forget; it follows from the state
	// service's limit on changes.
	MaxForget int     `toml:"-"`
	Peers     []Peer  `toml:"peers"`
	Classes   []Class `toml:"classes"`
}

// Peer is another site.
type Peer struct {
	Site Site `toml:"site"`
	// Addresses are its controllers', tried in turn.
	Addresses []string `toml:"addresses"`
	// MaxOutgoing bounds the jobs that are away there at a time, Takes those taken from
	// it; 0 takes none.
	MaxOutgoing int  `toml:"at_once"`
	MaxIncoming int  `toml:"takes"`
	Drained     bool `toml:"drain"`
	// Zones and Types are what it has; jobs that name others are not offered. Not
	// given: any.
	Zones []string `toml:"zones"`
	Types []string `toml:"types"`
}

// Class says what may happen to the jobs of a class.
type Class struct {
	Name string `toml:"name"`
	// To lists the sites that its jobs may go to, the preferred first.
	To []Site `toml:"to"`
	// OfferAfterS is for how long a job waits here before it is offered.
	OfferAfterS float64 `toml:"after_s"`
	// MaxOutgoing bounds the jobs of the class that are away at a time; 0: no bound.
	MaxOutgoing int `toml:"at_once"`
	// AllowsRepeat allows an operator to run its jobs again although they may have run.
	AllowsRepeat bool `toml:"repeat"`
	// AcceptFrom lists the sites whose jobs of the class are taken.
	AcceptFrom []Site `toml:"accept"`
}

// Default holds the figures that a file need not give.
func Default() Config {
	return Config{RetryS: 2, RetryMaxS: 60, RetryRate: 20, BreakerThreshold: 3, MaxHops: 3, LoadMaxAgeS: 20}
}

// Load reads and checks a gateway's file. Unknown keys are errors, told in one line.
func Load(path string) (*Config, error) {
	c := Default()
	return &c, strictconfig.Load(path, &c)
}

// MaxJobsPerPeer bounds the jobs that are away at one peer, so that a list of them fits a
// message.
const MaxJobsPerPeer = 10_000

// Check tells what is wrong with the file.
func (c *Config) Check() error {
	if c.Site == "" || !siteName.MatchString(string(c.Site)) {
		return fmt.Errorf("site %q is missing or not made of letters, digits and -", c.Site)
	}
	if c.RetryS <= 0 || c.RetryMaxS < c.RetryS || c.RetryRate <= 0 || c.BreakerThreshold < 1 || c.MaxHops < 1 || c.LoadMaxAgeS <= 0 {
		return errors.New("retry_s, retry_max_s, retries_per_s, break_after, hops and room_age_s must be positive, retry_max_s at least retry_s")
	}
	known := []Site{}
	for _, p := range c.Peers {
		switch {
		case p.Site == "" || p.Site == c.Site || slices.Contains(known, p.Site):
			return fmt.Errorf("peer %q is this site, empty or named twice", p.Site)
		case !siteName.MatchString(string(p.Site)):
			return fmt.Errorf("peer %q is not made of letters, digits and -", p.Site)
		case p.MaxOutgoing < 0 || p.MaxIncoming < 0 || p.MaxOutgoing > MaxJobsPerPeer || p.MaxIncoming > MaxJobsPerPeer:
			return fmt.Errorf("peer %q: at_once and takes must be from 0 to %d", p.Site, MaxJobsPerPeer)
		}
		known = append(known, p.Site)
	}
	for _, k := range c.Classes {
		for _, s := range append(slices.Clone(k.To), k.AcceptFrom...) {
			if !slices.Contains(known, s) {
				return fmt.Errorf("class %q names %q, which is no peer", k.Name, s)
			}
		}
	}
	return nil
}

// siteName is what a site may be called: its name becomes part of keys and ids.
var siteName = regexp.MustCompile(`^[A-Za-z0-9-]{1,32}$`)

// CanRunElsewhere tells whether a job of a class that asks for a zone or types which this
// site has not may go to a site that has them.
func (c *Config) CanRunElsewhere(class, zone string, types []string) bool {
	return slices.ContainsFunc(c.class(class).To, func(s Site) bool {
		p, _ := c.peer(s)
		return zone != "" && slices.Contains(p.Zones, zone) ||
			slices.ContainsFunc(types, func(t string) bool { return slices.Contains(p.Types, t) })
	})
}

// MayOffer tells whether jobs of a class may go anywhere once they have waited.
func (c *Config) MayOffer(class string, waited time.Duration) bool {
	k := c.class(class)
	return len(k.To) > 0 && waited >= seconds(k.OfferAfterS)
}

// peer finds a peer by its name.
func (c *Config) peer(s Site) (Peer, bool) {
	i := slices.IndexFunc(c.Peers, func(p Peer) bool { return p.Site == s })
	if i < 0 {
		return Peer{}, false
	}
	return c.Peers[i], true
}

// class finds the rules of a class; one that is not named goes nowhere and is not
// taken.
func (c *Config) class(name string) Class {
	i := slices.IndexFunc(c.Classes, func(k Class) bool { return k.Name == name })
	if i < 0 {
		return Class{Name: name}
	}
	return c.Classes[i]
}
