package core

import (
	"net/http"

	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// errNoFederation answers operators of a controller without a federation.
var errNoFederation = &rejection{http.StatusNotFound, "this controller has no gateway"}

// operator is where an operator's request came from.
type operator struct {
	node string
	req  uint64
}

// operatorRequests holds the requests of operators that the coordinator has not answered, by
// the number that it answers to.
type operatorRequests struct {
	pending map[uint64]operator
	lastID  uint64
}

func newOperatorRequests() operatorRequests { return operatorRequests{pending: map[uint64]operator{}} }

// maxOperatorRequests bounds the pending requests. Past it all are dropped: their clients have
// long gone.
const maxOperatorRequests = 64

// add numbers a request.
func (r *operatorRequests) add(from operator) (id uint64) {
	if len(r.pending) >= maxOperatorRequests {
		clear(r.pending)
	}
	r.lastID++
	r.pending[r.lastID] = from
	return r.lastID
}

// take removes the request of a number.
func (r *operatorRequests) take(id uint64) (from operator, pending bool) {
	from, pending = r.pending[id]
	delete(r.pending, id)
	return from, pending
}

// handleOperatorRequest takes an operator's request, and passes it to the coordinator's leader.
func (c *Core) handleOperatorRequest(m OperatorRequest) {
	f := c.federation
	switch {
	case f == nil:
		c.replyRejected(m.Req, errNoFederation)
	case m.Op == ActionHandoffs:
		c.reply(m.Req, http.StatusOK, federation.ListHandOffs(&c.handoffs.Records))
	case f.running():
		c.federation.runOperatorRequest(operator{c.cfg.Node, m.Req}, m)
	case f.shard.leader == "":
		c.replyUnavailable(m.Req)
	default:
		c.route(f.shard.leader, PeerMessage{Federation: &FederationNote{Request: &m}})
	}
}

// runOperatorRequest answers a query at the coordinator's leader, or hands an instruction to the
// coordinator.
func (f *federationAdapter) runOperatorRequest(from operator, m OperatorRequest) {
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
		f.add(federation.Renew{Req: id, Site: federation.Site(m.Name), Operator: m.Operator, Reason: m.Reason})
	}
}

// replyStatus answers an operator with the state of the hand-offs, once the records are loaded.
func (f *federationAdapter) replyStatus(to operator) {
	if !f.coordinator.Loaded() {
		f.replyOperator(to, http.StatusServiceUnavailable, protocol.Problem{Error: "records are not loaded yet"})
		return
	}
	f.replyOperator(to, http.StatusOK, SiteStatus{Node: f.core.cfg.Node, Status: f.coordinator.Status()})
}

// answerOperator ends an operator's request; users were answered at once.
func (f *federationAdapter) answerOperator(answer federation.Answer) {
	from, pending := f.operators.take(answer.Req)
	switch {
	case !pending:
	case answer.Error != "":
		f.replyOperator(from, http.StatusConflict, protocol.Problem{Error: answer.Error})
	default:
		f.replyOperator(from, http.StatusOK, OperatorResult{Message: answer.State})
	}
}

// replyOperator answers an operator, by way of the controller that the request came from.
func (f *federationAdapter) replyOperator(to operator, status int, body any) {
	if to.node == f.core.cfg.Node {
		f.core.reply(to.req, status, body)
		return
	}
	reply := &OperatorReply{Req: to.req, Status: status, Body: mustjson.Marshal(body)}
	f.core.route(to.node, PeerMessage{Federation: &FederationNote{Reply: reply}})
}
