package federation

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"pepperlever/internal/strictconfig"
)

// Config is the federation's configuration file. Times are in seconds.
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
	// LoadMaxAgeS is for how long what a peer tells of its waiting work counts.
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
	// MaxForget is how many decisions one write may forget; it follows from the store's
	// limit on changes.
	MaxForget int     `toml:"-"`
	Peers     []Peer  `toml:"peers"`
	Classes   []Class `toml:"classes"`
}

// Peer is another site.
type Peer struct {
	Site Site `toml:"site"`
	// Addresses are its controllers', tried in turn.
	Addresses []string `toml:"addresses"`
	// MaxOutgoing bounds the jobs that are there at a time.
	MaxOutgoing int `toml:"at_once"`
	// MaxIncoming bounds the jobs accepted from it at a time; 0 accepts none.
	MaxIncoming int `toml:"takes"`
	// Drained allows no new hand-offs with it.
	Drained bool `toml:"drain"`
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
	// MaxOutgoing bounds the jobs of the class that are at other sites at a time; 0: no bound.
	MaxOutgoing int `toml:"at_once"`
	// AllowsRepeat allows an operator to run its jobs again although they may have run.
	AllowsRepeat bool `toml:"repeat"`
	// AcceptFrom lists the sites whose jobs of the class are accepted.
	AcceptFrom []Site `toml:"accept"`
}

// Default holds the figures that a file need not give.
func Default() Config {
	return Config{RetryS: 2, RetryMaxS: 60, RetryRate: 20, BreakerThreshold: 3, MaxHops: 3, LoadMaxAgeS: 20}
}

// Load reads and checks a configuration file. Unknown keys are errors, told in one line.
func Load(path string) (*Config, error) {
	c := Default()
	return &c, strictconfig.Load(path, &c)
}

// MaxJobsPerPeer bounds the jobs that are at one peer, so that a list of them fits a
// message.
const MaxJobsPerPeer = 10_000

// errLimits says which figures of a file are out of range.
var errLimits = errors.New("retry_s, retry_max_s, retries_per_s, break_after, hops and room_age_s must be positive, retry_max_s at least retry_s")

// Check tells what is wrong with the file.
func (c *Config) Check() error {
	if !siteName.MatchString(string(c.Site)) {
		return fmt.Errorf("site %q is missing or not made of letters, digits and -", c.Site)
	}
	if !c.limitsValid() {
		return errLimits
	}
	peers, err := c.checkPeers()
	if err != nil {
		return err
	}
	return c.checkClasses(peers)
}

func (c *Config) limitsValid() bool {
	retries := c.RetryS > 0 && c.RetryMaxS >= c.RetryS && c.RetryRate > 0
	return retries && c.BreakerThreshold >= 1 && c.MaxHops >= 1 && c.LoadMaxAgeS > 0
}

// checkPeers checks the peers and returns their names.
func (c *Config) checkPeers() ([]Site, error) {
	names := []Site{}
	for _, peer := range c.Peers {
		switch {
		case peer.Site == "" || peer.Site == c.Site || slices.Contains(names, peer.Site):
			return nil, fmt.Errorf("peer %q is this site, empty or named twice", peer.Site)
		case !siteName.MatchString(string(peer.Site)):
			return nil, fmt.Errorf("peer %q is not made of letters, digits and -", peer.Site)
		case !isJobLimit(peer.MaxOutgoing) || !isJobLimit(peer.MaxIncoming):
			return nil, fmt.Errorf("peer %q: at_once and takes must be from 0 to %d", peer.Site, MaxJobsPerPeer)
		}
		names = append(names, peer.Site)
	}
	return names, nil
}

func isJobLimit(limit int) bool { return limit >= 0 && limit <= MaxJobsPerPeer }

// checkClasses checks that classes name peers alone.
func (c *Config) checkClasses(peers []Site) error {
	for _, class := range c.Classes {
		for _, site := range append(slices.Clone(class.To), class.AcceptFrom...) {
			if !slices.Contains(peers, site) {
				return fmt.Errorf("class %q names %q, which is no peer", class.Name, site)
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
	return slices.ContainsFunc(c.class(class).To, func(site Site) bool {
		peer, _ := c.peer(site)
		hasZone := zone != "" && slices.Contains(peer.Zones, zone)
		return hasZone || containsAny(peer.Types, types)
	})
}

// MayOffer tells whether jobs of a class may go anywhere once they have waited.
func (c *Config) MayOffer(class string, waited time.Duration) bool {
	rules := c.class(class)
	return len(rules.To) > 0 && waited >= seconds(rules.OfferAfterS)
}

// peer finds a peer by its name.
func (c *Config) peer(site Site) (peer Peer, found bool) {
	i := slices.IndexFunc(c.Peers, func(p Peer) bool { return p.Site == site })
	if i < 0 {
		return Peer{}, false
	}
	return c.Peers[i], true
}

// class finds the rules of a class; one that is not named goes nowhere and is not
// accepted.
func (c *Config) class(name string) Class {
	i := slices.IndexFunc(c.Classes, func(class Class) bool { return class.Name == name })
	if i < 0 {
		return Class{Name: name}
	}
	return c.Classes[i]
}

// offersZone tells whether a peer may have the zone that a job asks for.
func (p Peer) offersZone(zone string) bool {
	return zone == "" || p.Zones == nil || slices.Contains(p.Zones, zone)
}

// offersTypes tells whether a peer may have a type that a job asks for.
func (p Peer) offersTypes(types []string) bool {
	return types == nil || p.Types == nil || containsAny(p.Types, types)
}

func containsAny(list, wanted []string) bool {
	return slices.ContainsFunc(wanted, func(s string) bool { return slices.Contains(list, s) })
}
