package federation

import "slices"

// ineligibility is the reason why a job may not be handed off now. It is empty if the job may be
// handed off.
type ineligibility string

// Reasons that rule out every site.
const (
	eligible          ineligibility = ""
	classNotRouted    ineligibility = "class goes nowhere"
	waitTooShort      ineligibility = "has not waited for long enough"
	tooManyHops       ineligibility = "has come through too many sites"
	classLimitReached ineligibility = "as many of its class are away as may be"
	noCandidateSite   ineligibility = "no site"
)

// Reasons that rule out one site.
const (
	siteUnknown        ineligibility = "site is no peer"
	siteOnPath         ineligibility = "came from there"
	siteRefused        ineligibility = "was refused there"
	recordsNotCompared ineligibility = "records have not been compared"
	siteDrained        ineligibility = "site is drained"
	siteLacksZone      ineligibility = "site has not the zone"
	siteLacksTypes     ineligibility = "site has none of the types"
	siteInBackoff      ineligibility = "site has asked for a pause"
	siteUnreachable    ineligibility = "site does not answer"
	siteLimitReached   ineligibility = "as many are there as may be"
	siteWaitLonger     ineligibility = "work waits for longer there"
)

// route selects the site to offer a job to. If there is none, it returns a reason: one that rules
// out every site, or the one that rules out the last site of the class.
func (c *Coordinator) route(job WaitingJob) (Site, ineligibility) {
	class := c.cfg.class(job.Class)
	path := c.pathIncludingSelf(job)
	switch {
	case len(class.To) == 0:
		return "", classNotRouted
	case !job.InfeasibleHere && job.Waited < seconds(class.OfferAfterS):
		return "", waitTooShort
	case len(path) > c.cfg.MaxHops:
		return "", tooManyHops
	case class.MaxOutgoing > 0 && c.index.outgoingByClass[class.Name] >= class.MaxOutgoing:
		return "", classLimitReached
	}
	reason := noCandidateSite
	for _, site := range class.To {
		reason = c.ineligibilityFor(site, job, path)
		if reason == eligible {
			return site, eligible
		}
	}
	return "", reason
}

// ineligibilityFor returns the reason why a job may not be handed off to a site now.
func (c *Coordinator) ineligibilityFor(site Site, job WaitingJob, path []Site) ineligibility {
	cfg, known := c.cfg.peer(site)
	peer := c.peer(site)
	switch {
	case !known:
		return siteUnknown
	case slices.Contains(path, site):
		return siteOnPath
	case c.refusals[refusalKey{job.ID, site}]:
		return siteRefused
	case peer.suspendedReason != "" || !peer.recordsCompared:
		return recordsNotCompared
	case cfg.Drained || c.records.Drained[site]:
		return siteDrained
	case !cfg.mayHaveZone(job.Zone):
		return siteLacksZone
	case !cfg.mayHaveTypes(job.Types):
		return siteLacksTypes
	case c.now < peer.backoffUntil:
		return siteInBackoff
	case !peer.breaker.allows(c.now):
		return siteUnreachable
	case len(c.index.openEpochs[site]) >= cfg.MaxOutgoing:
		return siteLimitReached
	case !job.InfeasibleHere && c.hasLongerWait(peer, job):
		return siteWaitLonger
	}
	return eligible
}

// hasLongerWait reports whether jobs wait longer at a peer than the given job has waited here,
// according to the peer's last message. A message older than LoadMaxAgeS is ignored.
func (c *Coordinator) hasLongerWait(peer *peerState, job WaitingJob) bool {
	recent := c.now-peer.loadReceivedAt < seconds(c.cfg.LoadMaxAgeS)
	return recent && peer.longestWaitS > job.Waited.Seconds()
}

// refusalReason returns the reason for refusing an offer, or an empty string to accept it.
// infeasible is the reason why the job can never run here, if there is one.
func (c *Coordinator) refusalReason(ticket Ticket, infeasible string) string {
	origin := ticket.Origin
	cfg, known := c.cfg.peer(origin)
	switch {
	case !known:
		return reasonUnknownSite
	case cfg.Drained || c.records.Drained[origin]:
		return reasonDrained
	case !c.isValidPath(ticket.Path, origin):
		return reasonInvalidPath
	case !slices.Contains(c.cfg.class(ticket.Class).AcceptFrom, origin):
		return reasonClassNotAccepted
	case infeasible != "":
		return infeasible
	case c.index.runningByOrigin[origin]+c.writes.countAcceptances(origin) >= cfg.MaxIncoming:
		return reasonBusy
	}
	return ""
}

// isValidPath reports whether a path ends with the sender of the offer, is not too long and does
// not contain this site.
func (c *Coordinator) isValidPath(path []Site, origin Site) bool {
	if len(path) == 0 || len(path) > c.cfg.MaxHops {
		return false
	}
	return path[len(path)-1] == origin && !slices.Contains(path, c.cfg.Site)
}
