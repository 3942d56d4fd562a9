package core

import (
	"cmp"
	"hash/fnv"
	"net/http"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// federationAdapter joins the machine of hand-offs to the core. It runs on one controller at a
// time: the home of the gateway's own pseudo team.
type federationAdapter struct {
	cfg     *federation.Config
	shard   *shard
	machine *federation.Coordinator
	inputs  []federation.Input
	// inFlight holds the machine's writes that are not answered; foreign the
	// revisions at which its records changed otherwise, as far as known.
	inFlight map[uint64]bool
	foreign  map[uint64]bool
	// loadAt is when the machine is to get all records again, 0 for not at all.
	loadAt       time.Duration
	tickAt, feed time.Duration
	// asking holds the accepted jobs whose end is being asked for.
	asking map[string]bool
	// asked holds operators' questions, by the number that the machine answers to.
	asked  map[uint64]operator
	nextID uint64
}

// operator is where an operator's question came from.
type operator struct {
	node string
	req  uint64
}

// Join switches the gateway on. It is called before the first Step.
func (c *Core) Join(cfg *federation.Config) {
	c.federation = &federationAdapter{cfg: cfg, shard: &shard{name: "gateway", key: keyFederation},
		inFlight: map[uint64]bool{}, foreign: map[uint64]bool{}, asking: map[string]bool{}, asked: map[uint64]operator{}}
	c.federation.limit(c)
}

// limit sets what follows from the state service's limits.
func (g *federationAdapter) limit(c *Core) { g.cfg.MaxForget = c.limits.maxChanges() - 1 }

// open starts the machine, as this node has become its home: the mirror holds all
// that an earlier one has stored.
func (g *federationAdapter) open(c *Core) {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.members.incarnation)) // never fails
	g.machine = federation.New(g.cfg, seed.Sum64()+g.shard.version)
	clear(g.inFlight)
	clear(g.foreign)
	clear(g.asking)
	g.inputs, g.loadAt = []federation.Input{federation.RecordsLoaded{Records: c.handoffs.Records}}, 0
}

// siteChanged notes a change of the records that did not come with the answer to a
// write; if no such answer tells of it later the machine reads them again.
func (c *Core) siteChanged(revision uint64) {
	if g := c.federation; g != nil && g.machine != nil {
		g.foreign[revision] = true
	}
}

// runFederation hands the machine what has happened and carries its effects out.
func (c *Core) runFederation() {
	g := c.federation
	if g == nil || g.machine == nil || !c.loaded {
		return
	}
	if c.every(&g.feed, c.reportInterval()/6) {
		c.feedFederation()
	}
	if len(g.inFlight) == 0 && (len(g.foreign) > 0 || g.loadAt > 0 && c.now.Steady >= g.loadAt) {
		clear(g.foreign)
		g.loadAt = 0
		g.inputs = append(g.inputs, federation.RecordsLoaded{Records: c.handoffs.Records})
	}
	for len(g.inputs) > 0 || c.every(&g.tickAt, c.reportInterval()/30) {
		in := g.inputs
		g.inputs = nil
		for _, e := range g.machine.Step(c.now.Steady, in...) {
			c.carryOutFederation(e)
		}
		if g.machine == nil {
			return
		}
	}
}

func (c *Core) carryOutFederation(e federation.Effect) {
	g := c.federation
	switch e := e.(type) {
	case federation.StoreWrite:
		c.siteStore(e)
	case federation.Reload:
		g.loadAt = c.now.Steady + c.reportInterval()/6
	case federation.Send:
		if k, ok := c.handoffs.Incoming[federation.IncomingID{Origin: e.Message.To, Epoch: e.Message.Epoch}]; ok && e.Message.Accepted {
			s := c.jobProgress(k.LocalID)
			e.Message.Done, e.Message.Running = s.Done, s.Running
		}
		c.emit(SendSite{Message: e.Message})
	case federation.CancelLocal:
		c.cancel(Cancel{ID: e.LocalID})
	case federation.Answer:
		c.siteAnswer(e)
	case federation.Log:
		level := Info
		if e.IsError {
			level = Error
		}
		c.log(level, e.Text, e.Attrs...)
	}
}

// handleSiteMessage takes a message of another site to the gateway's home.
func (c *Core) handleSiteMessage(m federation.Message) {
	g := c.federation
	if g == nil {
		return
	}
	if g.machine == nil {
		if g.shard.leader != "" && g.shard.leader != c.cfg.Node {
			c.route(g.shard.leader, PeerMessage{Federation: &FederationNote{Message: &m}})
		}
		return
	}
	in := federation.MessageReceived{Message: m}
	if m.Kind == federation.KindOffer && m.Ticket != nil {
		if !c.catalog.Loaded() {
			return // it is offered again
		}
		in.Infeasible = c.unfit(m.Ticket)
	}
	if job, ok := g.machine.OutgoingJob(m.From, m.Epoch); ok && m.Kind == federation.KindDecision && m.Accepted {
		c.progressed(job, Progress{m.Done, m.Running})
		c.broadcast(PeerMessage{Federation: &FederationNote{Progress: map[string]Progress{job: c.handoffs.progress[job]}}})
	}
	g.inputs = append(g.inputs, in)
}

// progressed notes how a job that is away gets on. What was done stays done.
func (c *Core) progressed(id string, p Progress) {
	if _, away := c.handoffs.Outgoing[id]; away {
		p.Done = max(p.Done, c.handoffs.progress[id].Done)
		c.handoffs.progress[id] = p
	}
}

// outgoingUnconfirmed tells whether nobody here knows how an accepted job that is away gets on:
// anything said of it might be older than what its user was told before.
func (c *Core) outgoingUnconfirmed(id string) bool {
	_, told := c.handoffs.progress[id]
	return c.handoffs.Outgoing[id].Accepted && !told
}

// unfit tells why a job of another site can never run here, or nothing.
func (c *Core) unfit(t *federation.Ticket) string {
	s, err := job.Parse(t.Body, c.limits.maxSpecBytes())
	if err != nil {
		return err.Error()
	}
	if len(s.Awaits) > 0 {
		return "job awaits jobs of its own site"
	}
	if r := c.submissionCheck().reject(c.teamBy[s.Team], s); r != nil {
		return r.reason
	}
	return ""
}

// canRunElsewhere tells whether a job that can never run here may go to a site that has
// what it asks for.
func (c *Core) canRunElsewhere(s *job.Spec) bool {
	return c.federation != nil && len(s.Awaits) == 0 && c.federation.cfg.CanRunElsewhere(s.Class, s.Zone, s.Types)
}

// feedFederation tells the machine which jobs wait, and which accepted ones have ended.
func (c *Core) feedFederation() {
	g := c.federation
	w := federation.JobsWaiting{}
	var jobs []*job.Job
	for _, t := range c.teams {
		for _, j := range ordered(t.jobs) {
			if !c.untouched(j) {
				continue
			}
			if waited := c.now.Steady - j.WaitingSince; !j.Suspected && !isBestEffort(j) {
				w.LongestWaitS = max(w.LongestWaitS, waited.Seconds())
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job.Job) int {
		return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(a.LatestStart(), b.LatestStart()), cmp.Compare(a.ID, b.ID))
	})
	if c.members.allKnowFederation() {
		for _, j := range jobs {
			if len(w.Jobs) == mostOffered {
				break
			}
			never := c.catalog.Loaded() && c.submissionCheck().reject(c.teamBy[j.Team], &j.Spec) != nil
			if waited := c.now.Steady - j.WaitingSince; never || g.cfg.MayOffer(j.Class, waited) {
				w.Jobs = append(w.Jobs, c.offerable(j, waited, never))
			}
		}
	}
	g.inputs = append(g.inputs, w)
	for _, k := range orderedBy(c.handoffs.Incoming, federation.CompareIncomingIDs) {
		if k.Accepted && k.FinalState == "" && !g.asking[k.LocalID] && (c.jobs[k.LocalID] == nil || c.jobs[k.LocalID].Cancelled) {
			g.asking[k.LocalID] = true
			c.lookUp(k.LocalID, func(result lookup.Result) {
				delete(g.asking, k.LocalID)
				if result.Outcome == lookup.Final && g.machine != nil {
					g.inputs = append(g.inputs, federation.LocalJobEnded{LocalID: k.LocalID, FinalState: result.State.State})
				}
			})
		}
	}
}

// mostOffered is how many jobs are weighed at a time; more come next time.
const mostOffered = 64

// untouched tells whether nothing of a job was ever bound: only such are handed off, and
// none that awaits others, which another site does not know.
func (c *Core) untouched(j *job.Job) bool {
	return j.Attempt == 0 && len(j.Bound) == 0 && !j.Cancelled && !j.InFlight && j.Version > 0 && len(j.Awaits) == 0 && !c.isOutgoing(j.ID)
}

func (c *Core) offerable(j *job.Job, waited time.Duration, never bool) federation.WaitingJob {
	out := federation.WaitingJob{ID: j.ID, Class: j.Class, Waited: waited, Zone: j.Zone, Types: j.Types, InfeasibleHere: never}
	if h, ok := federation.ParseLocalID(j.ID); ok {
		out.Path = c.handoffs.Incoming[h].Path
	}
	s := j.Spec
	if s.DeadlineS > 0 { // clocks of sites differ, so what is left is told
		s.DeadlineS = max(1, s.DeadlineS-float64(c.now.Wall-s.Accepted)/1000)
	}
	out.Body = mustMarshal(s.Submission())
	return out
}

// cancelOutgoing has the far site asked for the end of a job. The user is told when it
// has one.
func (c *Core) cancelOutgoing(m Cancel) {
	c.replyUnavailable(m.Req)
	c.forwardToFederation(FederationNote{Cancel: m.ID})
}

// forwardToFederation passes something to the gateway's home.
func (c *Core) forwardToFederation(n FederationNote) {
	g := c.federation
	switch {
	case g == nil || g.shard.leader == "":
	case g.machine != nil:
		c.handleFederationNote(c.cfg.Node, n)
	default:
		c.route(g.shard.leader, PeerMessage{Federation: &n})
	}
}

// handleFederationNote takes what another controller says about the gateway.
func (c *Core) handleFederationNote(from string, n FederationNote) {
	g := c.federation
	switch {
	case g == nil:
	case n.Message != nil:
		if g.machine != nil { // it is not passed on a second time
			c.handleSiteMessage(*n.Message)
		}
	case n.Progress != nil:
		for id, p := range n.Progress {
			c.progressed(id, p)
		}
	case n.Cancel != "" && g.machine != nil:
		g.inputs = append(g.inputs, federation.CancelRequested{JobID: n.Cancel})
	case n.Request != nil && g.machine != nil:
		c.siteOperate(operator{from, n.Request.Req}, *n.Request)
	case n.Reply != nil:
		c.reply(n.Reply.Req, n.Reply.Status, json.RawMessage(n.Reply.Body))
	}
}

// handleOperatorRequest takes an operator's question or word to the gateway's home.
func (c *Core) handleOperatorRequest(m OperatorRequest) {
	g := c.federation
	switch {
	case g == nil:
		c.reply(m.Req, http.StatusNotFound, protocol.Problem{Error: "this controller has no gateway"})
	case m.Op == ActionHandoffs:
		c.reply(m.Req, http.StatusOK, federation.ListHandOffs(&c.handoffs.Records))
	case g.machine != nil:
		c.siteOperate(operator{c.cfg.Node, m.Req}, m)
	case g.shard.leader == "":
		c.replyUnavailable(m.Req)
	default:
		c.route(g.shard.leader, PeerMessage{Federation: &FederationNote{Request: &m}})
	}
}

// siteOperate answers a question at the gateway's home, or hands the word on.
func (c *Core) siteOperate(q operator, m OperatorRequest) {
	g := c.federation
	if m.Op == ActionStatus {
		c.siteTell(q, http.StatusOK, SiteStatus{Node: c.cfg.Node, Status: g.machine.Status()})
		return
	}
	if len(g.asked) >= mostOffered {
		clear(g.asked) // their clients have long gone
	}
	g.nextID++
	g.asked[g.nextID] = q
	switch m.Op {
	case ActionGiveUp:
		g.inputs = append(g.inputs, federation.GiveUp{Req: g.nextID, JobID: m.Name, Operator: m.Operator, Reason: m.Reason})
	case ActionDrain:
		g.inputs = append(g.inputs, federation.Drain{Req: g.nextID, Site: federation.Site(m.Name), Drained: m.On})
	case ActionRenew:
		g.inputs = append(g.inputs, federation.Renew{Req: g.nextID, Site: federation.Site(m.Name), Operator: m.Operator, Reason: m.Reason})
	}
}

// siteAnswer ends an operator's question; users were answered at once.
func (c *Core) siteAnswer(a federation.Answer) {
	q, ok := c.federation.asked[a.Req]
	if !ok {
		return
	}
	delete(c.federation.asked, a.Req)
	if a.Error != "" {
		c.siteTell(q, http.StatusConflict, protocol.Problem{Error: a.Error})
		return
	}
	c.siteTell(q, http.StatusOK, OperatorResult{Message: a.State})
}

func (c *Core) siteTell(q operator, status int, body any) {
	if q.node == c.cfg.Node {
		c.reply(q.req, status, body)
		return
	}
	c.route(q.node, PeerMessage{Federation: &FederationNote{Reply: &OperatorReply{Req: q.req, Status: status, Body: mustMarshal(body)}}})
}

// siteConfig takes the operator's file, read again.
func (c *Core) siteConfig(cfg *federation.Config) {
	g := c.federation
	if g == nil || cfg.Site != g.cfg.Site {
		c.log(Error, "gateway file is not taken: the site's name may not change")
		return
	}
	g.cfg = cfg
	g.limit(c)
	if g.machine != nil {
		g.inputs = append(g.inputs, federation.ConfigChanged{Config: cfg})
	}
	c.log(Info, "gateway file taken", "peers", len(cfg.Peers), "classes", len(cfg.Classes))
}
