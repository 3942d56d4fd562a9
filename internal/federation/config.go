package federation

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"time"

	"pepperlever/internal/strictconfig"
)

// Config is the configuration file of the federation. Times are in seconds.
type Config struct {
	Site Site `toml:"site"`
	// RetryS is the delay before a message is repeated for the first time. RetryMaxS is the
	// longest delay. Jitter is applied to both.
	RetryS    float64 `toml:"retry_s"`
	RetryMaxS float64 `toml:"retry_max_s"`
	// RetryRate is the number of retries per second that all hand-offs with one peer share. Each
	// message from the peer allows further retries.
	RetryRate float64 `toml:"retries_per_s"`
	// BreakerThreshold is the number of consecutive failures that opens a peer's circuit breaker.
	// A failure is counted if the peer sends no message for RetryS after an attempt.
	BreakerThreshold int `toml:"break_after"`
	// MaxHops is the maximum number of sites that a job may have come through when it is offered,
	// including the site that offers it.
	MaxHops int `toml:"hops"`
	// LoadMaxAgeS is the age at which a load report from a peer is no longer used.
	LoadMaxAgeS float64 `toml:"room_age_s"`
	// Listen is the address on which this controller accepts streams from peers.
	Listen string `toml:"listen"`
	// Authority, Certificate and Key are PEM files for mutual TLS. A certificate carries the
	// site's name as its DNS name.
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// TicketKeys is the file with the keys that sign tickets.
	TicketKeys string `toml:"ticket_keys"`
	// MaxDeletionsPerWrite is the maximum number of decisions that one write deletes. It follows
	// from the store's limit on changes per transaction.
	MaxDeletionsPerWrite int     `toml:"-"`
	Peers                []Peer  `toml:"peers"`
	Classes              []Class `toml:"classes"`
}

// Peer is the configuration of another site.
type Peer struct {
	Site Site `toml:"site"`
	// Addresses are the addresses of its controllers, tried in turn.
	Addresses []string `toml:"addresses"`
	// MaxOutgoing is the maximum number of jobs handed off to the peer at the same time; 0 hands
	// off none.
	MaxOutgoing int `toml:"at_once"`
	// MaxIncoming is the maximum number of running jobs accepted from the peer; 0 accepts none.
	MaxIncoming int `toml:"takes"`
	// Drained disables new hand-offs with the peer, in both directions.
	Drained bool `toml:"drain"`
	// Zones and Types are the zones and machine types of the peer. Jobs that ask for others are
	// not offered to it. If unset, the peer may have any.
	Zones []string `toml:"zones"`
	Types []string `toml:"types"`
}

// Class holds the hand-off rules for the jobs of one class.
type Class struct {
	Name string `toml:"name"`
	// To lists the sites that jobs may be handed off to, in order of preference.
	To []Site `toml:"to"`
	// OfferAfterS is how long a job waits here before it is offered to another site. A job that can
	// never run here is offered without waiting.
	OfferAfterS float64 `toml:"after_s"`
	// MaxOutgoing is the maximum number of jobs of the class at other sites at the same time; 0
	// means no limit.
	MaxOutgoing int `toml:"at_once"`
	// AllowsRepeat allows a job to run again although it may have run at the site that it was
	// handed off to.
	AllowsRepeat bool `toml:"repeat"`
	// AcceptFrom lists the sites from which jobs of the class are accepted.
	AcceptFrom []Site `toml:"accept"`
}

// Default returns the default values of optional settings.
func Default() Config {
	return Config{RetryS: 2, RetryMaxS: 60, RetryRate: 20, BreakerThreshold: 3, MaxHops: 3, LoadMaxAgeS: 20}
}

// Load reads and validates a configuration file. Unknown keys are an error.
func Load(path string) (*Config, error) {
	c := Default()
	return &c, strictconfig.Load(path, &c)
}

// MaxJobsPerPeer limits the jobs handed off to one peer and those accepted from it, so that a list
// of their epochs fits into one message.
const MaxJobsPerPeer = 10_000

// errInvalidLimits reports numeric settings that are out of range.
var errInvalidLimits = errors.New("retry_s, retry_max_s, retries_per_s, break_after, hops and room_age_s must be positive, retry_max_s at least retry_s")

// Check validates the configuration.
func (c *Config) Check() error {
	if !siteName.MatchString(string(c.Site)) {
		return fmt.Errorf("site %q is missing or is not 1 to 32 letters, digits or hyphens", c.Site)
	}
	if !c.areLimitsValid() {
		return errInvalidLimits
	}
	peers, err := c.checkPeers()
	if err != nil {
		return err
	}
	return c.checkClasses(peers)
}

// areLimitsValid reports whether the numeric settings are in range.
func (c *Config) areLimitsValid() bool {
	retriesValid := c.RetryS > 0 && c.RetryMaxS >= c.RetryS && c.RetryRate > 0
	return retriesValid && c.BreakerThreshold >= 1 && c.MaxHops >= 1 && c.LoadMaxAgeS > 0
}

// checkPeers validates the peers and returns their names.
func (c *Config) checkPeers() ([]Site, error) {
	names := []Site{}
	for _, peer := range c.Peers {
		switch {
		case peer.Site == "" || peer.Site == c.Site || slices.Contains(names, peer.Site):
			return nil, fmt.Errorf("peer %q is this site, empty or named twice", peer.Site)
		case !siteName.MatchString(string(peer.Site)):
			return nil, fmt.Errorf("peer %q is not 1 to 32 letters, digits or hyphens", peer.Site)
		case !isValidJobLimit(peer.MaxOutgoing) || !isValidJobLimit(peer.MaxIncoming):
			return nil, fmt.Errorf("peer %q: at_once and takes must be from 0 to %d", peer.Site, MaxJobsPerPeer)
		}
		names = append(names, peer.Site)
	}
	return names, nil
}

func isValidJobLimit(limit int) bool { return limit >= 0 && limit <= MaxJobsPerPeer }

// checkClasses checks that classes refer only to configured peers.
func (c *Config) checkClasses(peers []Site) error {
	for _, class := range c.Classes {
		for _, site := range append(slices.Clone(class.To), class.AcceptFrom...) {
			if !slices.Contains(peers, site) {
				return fmt.Errorf("class %q names site %q, which is not a configured peer", class.Name, site)
			}
		}
	}
	return nil
}

// siteName matches valid site names. They become part of store keys and job IDs.
var siteName = regexp.MustCompile(`^[A-Za-z0-9-]{1,32}$`)

// CanRunElsewhere reports whether jobs of a class may be handed off to a peer whose configuration
// lists the given zone or one of the given machine types. It is called for jobs that can never run
// at this site.
func (c *Config) CanRunElsewhere(class, zone string, types []string) bool {
	return slices.ContainsFunc(c.class(class).To, func(site Site) bool {
		peer, _ := c.peer(site)
		hasZone := zone != "" && slices.Contains(peer.Zones, zone)
		return hasZone || containsAny(peer.Types, types)
	})
}

// MayOffer reports whether jobs of a class may be offered to other sites after the given waiting
// time.
func (c *Config) MayOffer(class string, waited time.Duration) bool {
	rules := c.class(class)
	return len(rules.To) > 0 && waited >= seconds(rules.OfferAfterS)
}

// peer looks up a peer by name.
func (c *Config) peer(site Site) (peer Peer, found bool) {
	i := slices.IndexFunc(c.Peers, func(p Peer) bool { return p.Site == site })
	if i < 0 {
		return Peer{}, false
	}
	return c.Peers[i], true
}

// class returns the rules of a class. Jobs of an unknown class are neither handed off nor
// accepted.
func (c *Config) class(name string) Class {
	i := slices.IndexFunc(c.Classes, func(class Class) bool { return class.Name == name })
	if i < 0 {
		return Class{Name: name}
	}
	return c.Classes[i]
}

// mayHaveZone reports whether the peer may have the zone that a job asks for.
func (p Peer) mayHaveZone(zone string) bool {
	return zone == "" || p.Zones == nil || slices.Contains(p.Zones, zone)
}

// mayHaveTypes reports whether the peer may have one of the machine types that a job asks for.
func (p Peer) mayHaveTypes(types []string) bool {
	return types == nil || p.Types == nil || containsAny(p.Types, types)
}

// containsAny reports whether list contains at least one of the wanted elements.
func containsAny(list, wanted []string) bool {
	return slices.ContainsFunc(wanted, func(s string) bool { return slices.Contains(list, s) })
}
