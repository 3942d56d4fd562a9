package core

import (
	"net/http"

	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// errNoFederation rejects operators' requests to a controller without a federation configuration.
var errNoFederation = &rejection{http.StatusNotFound, "this controller has no federation configuration"}

// requestOrigin identifies the controller that an operator's request came from, and the request's ID
// there.
type requestOrigin struct {
	node string
	req  uint64
}

// operatorRequestTable holds the origins of the operators' requests that the coordinator has not
// answered yet, by the ID under which each request was passed to the coordinator.
type operatorRequestTable struct {
	pending map[uint64]requestOrigin
	lastID  uint64
}

func newOperatorRequestTable() operatorRequestTable {
	return operatorRequestTable{pending: map[uint64]requestOrigin{}}
}

// maxOperatorRequests limits the pending requests. When it is reached, all of them are dropped:
// their clients have timed out long before.
const maxOperatorRequests = 64

// add registers a request and returns its ID.
func (r *operatorRequestTable) add(from requestOrigin) (id uint64) {
	if len(r.pending) >= maxOperatorRequests {
		clear(r.pending)
	}
	r.lastID++
	r.pending[r.lastID] = from
	return r.lastID
}

// take removes and returns the request with an ID, if it is pending.
func (r *operatorRequestTable) take(id uint64) (from requestOrigin, pending bool) {
	from, pending = r.pending[id]
	delete(r.pending, id)
	return from, pending
}

// handleOperatorRequest handles an operator's request, or forwards it to the controller that runs the
// coordinator. Any controller with a federation configuration can list the hand-offs itself.
func (c *Core) handleOperatorRequest(m OperatorRequest) {
	f := c.federation
	switch {
	case f == nil:
		c.replyRejected(m.Req, errNoFederation)
	case m.Op == ActionHandoffs:
		c.reply(m.Req, http.StatusOK, federation.ListHandOffs(&c.handoffs.Records))
	case f.running():
		c.federation.runOperatorRequest(requestOrigin{c.cfg.Node, m.Req}, m)
	case f.shard.leader == "":
		c.replyUnavailable(m.Req)
	default:
		c.route(f.shard.leader, PeerMessage{Federation: &FederationMessage{Request: &m}})
	}
}

// runOperatorRequest answers a status query or passes a command to the coordinator. It is called
// where the coordinator runs.
func (f *federationAdapter) runOperatorRequest(from requestOrigin, m OperatorRequest) {
	if m.Op == ActionStatus {
		f.replyStatus(from)
		return
	}
	id := f.operators.add(from)
	switch m.Op {
	case ActionGiveUp:
		f.add(federation.GiveUp{Req: id, JobID: m.Name, Operator: m.Operator, Reason: m.Reason})
	case ActionDrain:
		f.add(federation.Drain{Req: id, Site: federation.Site(m.Name), Drained: m.On})
	case ActionRenew:
		f.add(federation.ResumeHandOffs{Req: id, Site: federation.Site(m.Name), Operator: m.Operator, Reason: m.Reason})
	}
}

// replyStatus replies to an operator with the status of the hand-offs. It fails while the coordinator
// has not loaded its records.
func (f *federationAdapter) replyStatus(to requestOrigin) {
	if !f.coordinator.Loaded() {
		f.replyOperator(to, http.StatusServiceUnavailable, protocol.Problem{Error: "records are not loaded yet"})
		return
	}
	f.replyOperator(to, http.StatusOK, SiteStatus{Node: f.core.cfg.Node, Status: f.coordinator.Status()})
}

// handleAnswer passes an answer of the coordinator on to the operator who sent the request. An answer
// without a pending request is dropped.
func (f *federationAdapter) handleAnswer(answer federation.Answer) {
	from, pending := f.operators.take(answer.Req)
	switch {
	case !pending:
	case answer.Error != "":
		f.replyOperator(from, http.StatusConflict, protocol.Problem{Error: answer.Error})
	default:
		f.replyOperator(from, http.StatusOK, OperatorResult{Message: answer.State})
	}
}

// replyOperator sends a reply to an operator, through the controller that the request came from.
func (f *federationAdapter) replyOperator(to requestOrigin, status int, body any) {
	if to.node == f.core.cfg.Node {
		f.core.reply(to.req, status, body)
		return
	}
	reply := &OperatorReply{Req: to.req, Status: status, Body: mustjson.Marshal(body)}
	f.core.route(to.node, PeerMessage{Federation: &FederationMessage{Reply: reply}})
}
