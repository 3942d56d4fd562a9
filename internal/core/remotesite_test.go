package core

import (
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// remoteSite simulates another site that answers messages as the test requires. No message is
// lost for good: the coordinator sends every message again until it is answered.
type remoteSite struct {
	w *world
	// decide answers an offer; finalState returns the final state of the accepted jobs, "" until they
	// have ended.
	decide     func(m federation.Message) federation.Message
	finalState func() string
	handled    int // number of messages in w.sent that were handled
	answers    map[federation.Epoch]federation.Message
}

// newFederatedWorld returns a world whose controllers are in a federation with a site named far.
func newFederatedWorld(t *testing.T) (*world, *remoteSite) {
	w := newWorld(t)
	w.gateways = map[string]*federation.Config{}
	for _, n := range nodeNames {
		cfg := federation.Default()
		cfg.Site, cfg.RetryS, cfg.RetryMaxS = "near", 1, 4
		cfg.Peers = []federation.Peer{{Site: "far", MaxOutgoing: 10, MaxIncoming: 10, Zones: []string{"z9"}}}
		cfg.Classes = []federation.Class{{Name: "k", To: []federation.Site{"far"}, AcceptFrom: []federation.Site{"far"}, AllowsRepeat: true, OfferAfterS: 3600}}
		w.gateways[n] = &cfg
	}
	for _, n := range nodeNames {
		w.boot(n)
	}
	f := &remoteSite{w: w, answers: map[federation.Epoch]federation.Message{}, finalState: func() string { return "" }}
	f.decide = func(m federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Accepted: true, Done: 1, Running: 2}
	}
	w.ready()
	return w, f
}

// serveUntil runs the world, answering the messages to the remote site, until done or for d.
func (f *remoteSite) serveUntil(d time.Duration, done func() bool) bool {
	return f.w.run(d, func() bool {
		for ; f.handled < len(f.w.sent); f.handled++ {
			f.receive(f.w.sent[f.handled])
		}
		return done()
	})
}

func (f *remoteSite) send(m federation.Message) {
	m.From, m.To = "far", "near"
	f.w.send(nodeNames[f.handled%len(nodeNames)], SiteMessageReceived{Message: m})
}

func (f *remoteSite) receive(m federation.Message) {
	answer, known := f.answers[m.Epoch]
	switch {
	case m.Kind == federation.KindViewRequest:
		f.send(federation.Message{Kind: federation.KindView, Nonce: m.Nonce, View: &federation.View{}})
		return
	case m.Kind == federation.KindCancel && !known:
		answer = federation.Message{Kind: federation.KindDecision, Reason: "cancelled"}
	case m.Kind == federation.KindOffer && !known:
		answer = f.decide(m)
	case m.Kind != federation.KindOffer && m.Kind != federation.KindCancel:
		return
	}
	f.answers[m.Epoch] = answer
	if state := f.finalState(); answer.Accepted && state != "" {
		answer = federation.Message{Kind: federation.KindResult, State: state}
	}
	answer.Epoch = m.Epoch
	f.send(answer)
}

// remoteZoneOnly is the job field that requires a zone which only far has.
const remoteZoneOnly = `,"yard":"z9"`

// submitRemote submits a job that only far can run.
func (f *remoteSite) submitRemote(id string) {
	f.w.t.Helper()
	if a := f.w.submit("a", id, 3, remoteZoneOnly); a.Status != http.StatusCreated {
		f.w.t.Fatalf("submission got %d", a.Status)
	}
}

// putWithoutEvent writes a key in the store that the watch does not report.
func (w *world) putWithoutEvent(key string, v any) {
	w.revision++
	w.kv[key] = protocol.KeyValue{Key: key, Value: mustjson.Marshal(v), Version: w.revision}
}
