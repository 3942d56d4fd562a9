package federation

import "slices"

// ineligibility is why a job may not go to another site now; empty if it may.
type ineligibility string

// Reasons why a job may go to no site.
const (
	eligible          ineligibility = ""
	classStays        ineligibility = "class goes nowhere"
	waitTooShort      ineligibility = "has not waited for long enough"
	tooManyHops       ineligibility = "has come through too many sites"
	classLimitReached ineligibility = "as many of its class are away as may be"
	noSite            ineligibility = "no site"
)

// Reasons why a job may not go to a site.
const (
	siteUnknown        ineligibility = "site is no peer"
	siteOnPath         ineligibility = "came from there"
	siteRefused        ineligibility = "was refused there"
	recordsNotCompared ineligibility = "records have not been compared"
	siteDrained        ineligibility = "site is drained"
	siteLacksZone      ineligibility = "site has not the zone"
	siteLacksTypes     ineligibility = "site has none of the types"
	siteBacksOff       ineligibility = "site has asked for a pause"
	siteUnreachable    ineligibility = "site does not answer"
	siteLimitReached   ineligibility = "as many are there as may be"
	siteWaitsLonger    ineligibility = "work waits for longer there"
)

// route picks the site that a job is offered to, or tells why there is none.
func (c *Coordinator) route(job WaitingJob) (Site, ineligibility) {
	class := c.cfg.class(job.Class)
	path := c.pathFromHere(job)
	switch {
	case len(class.To) == 0:
		return "", classStays
	case !job.InfeasibleHere && job.Waited < seconds(class.OfferAfterS):
		return "", waitTooShort
	case len(path) > c.cfg.MaxHops:
		return "", tooManyHops
	case class.MaxOutgoing > 0 && c.index.outgoingByClass[class.Name] >= class.MaxOutgoing:
		return "", classLimitReached
	}
	reason := noSite
	for _, site := range class.To {
		reason = c.ineligibleFor(site, job, path)
		if reason == eligible {
			return site, eligible
		}
	}
	return "", reason
}

// ineligibleFor tells why a job may not go to a site now.
func (c *Coordinator) ineligibleFor(site Site, job WaitingJob, path []Site) ineligibility {
	cfg, known := c.cfg.peer(site)
	peer := c.peer(site)
	switch {
	case !known:
		return siteUnknown
	case slices.Contains(path, site):
		return siteOnPath
	case c.rejected[rejectionKey{job.ID, site}]:
		return siteRefused
	case peer.suspendedReason != "" || !peer.recordsCompared:
		return recordsNotCompared
	case cfg.Drained || c.records.Drained[site]:
		return siteDrained
	case !cfg.offersZone(job.Zone):
		return siteLacksZone
	case !cfg.offersTypes(job.Types):
		return siteLacksTypes
	case c.now < peer.backoffUntil:
		return siteBacksOff
	case !peer.breaker.allows(c.now):
		return siteUnreachable
	case len(c.index.openEpochs[site]) >= cfg.MaxOutgoing:
		return siteLimitReached
	case !job.InfeasibleHere && c.waitsLongerThan(peer, job):
		return siteWaitsLonger
	}
	return eligible
}

// waitsLongerThan tells whether work at a peer waits for longer than a job has here, as far as
// that was told lately.
func (c *Coordinator) waitsLongerThan(peer *peerState, job WaitingJob) bool {
	recent := c.now-peer.loadReceivedAt < seconds(c.cfg.LoadMaxAgeS)
	return recent && peer.longestWaitS > job.Waited.Seconds()
}

// rejectionReason tells why this site does not take an offer, or nothing. infeasible tells why
// the job can never run here.
func (c *Coordinator) rejectionReason(ticket Ticket, infeasible string) string {
	origin := ticket.Origin
	cfg, known := c.cfg.peer(origin)
	switch {
	case !known:
		return reasonUnknownSite
	case cfg.Drained || c.records.Drained[origin]:
		return reasonDrained
	case !c.isValidPath(ticket.Path, origin):
		return reasonBadPath
	case !slices.Contains(c.cfg.class(ticket.Class).AcceptFrom, origin):
		return reasonClassNotTaken
	case infeasible != "":
		return infeasible
	case c.index.runningByOrigin[origin]+c.writes.acceptances(origin) >= cfg.MaxIncoming:
		return reasonBusy
	}
	return ""
}

// isValidPath tells whether a path ends at its origin, is not too long and has not come through
// this site.
func (c *Coordinator) isValidPath(path []Site, origin Site) bool {
	if len(path) == 0 || len(path) > c.cfg.MaxHops {
		return false
	}
	return path[len(path)-1] == origin && !slices.Contains(path, c.cfg.Site)
}
