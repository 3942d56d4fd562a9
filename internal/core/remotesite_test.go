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
	linkCut
	cluster *simCluster
	// decide answers an offer; finalState returns the final state of the accepted jobs, or "" until
	// they have ended.
	decide     func(m federation.Message) federation.Message
	finalState func() string
	handled    int // number of messages in cluster.sent that were handled
	answers    map[federation.Epoch]federation.Message
}

// newFederatedSimCluster returns a simulated cluster whose controllers are in a federation with a
// site named far.
func newFederatedSimCluster(t *testing.T) (*simCluster, *remoteSite) {
	cluster := newSimCluster(t)
	cluster.federationConfigs = map[string]*federation.Config{}
	for _, n := range nodeNames {
		cfg := federation.Default()
		cfg.Site, cfg.RetryS, cfg.RetryMaxS = "near", 1, 4
		cfg.Peers = []federation.Peer{{Site: "far", MaxOutgoing: 10, MaxIncoming: 10, Zones: []string{"z9"}}}
		cfg.Classes = []federation.Class{{Name: "k", To: []federation.Site{"far"}, AcceptFrom: []federation.Site{"far"}, AllowsRepeat: true, OfferAfterS: 3600}}
		cluster.federationConfigs[n] = &cfg
	}
	for _, n := range nodeNames {
		cluster.boot(n)
	}
	f := &remoteSite{cluster: cluster, answers: map[federation.Epoch]federation.Message{}, finalState: func() string { return "" }}
	f.decide = func(m federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Accepted: true, Done: 1, Running: 2}
	}
	cluster.waitUntilReady()
	return cluster, f
}

// serveUntil runs the simulation, answering the messages to the remote site, until done returns
// true or d has passed. It reports whether done did.
func (f *remoteSite) serveUntil(d time.Duration, done func() bool) bool {
	return f.cluster.run(d, func() bool {
		for ; f.handled < len(f.cluster.sent); f.handled++ {
			f.receive(f.cluster.sent[f.handled])
		}
		return done()
	})
}

// serveFor runs the simulation for d, answering the messages to the remote site.
func (f *remoteSite) serveFor(d time.Duration) {
	f.serveUntil(d, func() bool { return false })
}

// linkCut names the directions in which the link to the remote site loses messages.
type linkCut struct {
	outbound, inbound bool
}

func (f *remoteSite) send(m federation.Message) {
	if f.inbound {
		return
	}
	m.From, m.To = "far", "near"
	f.cluster.send(nodeNames[f.handled%len(nodeNames)], SiteMessageReceived{Message: m})
}

func (f *remoteSite) receive(m federation.Message) {
	if f.outbound {
		return
	}
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
	f.cluster.t.Helper()
	if a := f.cluster.submit("a", id, 3, remoteZoneOnly); a.Status != http.StatusCreated {
		f.cluster.t.Fatalf("submission got %d", a.Status)
	}
}

// putWithoutEvent writes a key in the store without an event, so no watch reports the change.
func (cluster *simCluster) putWithoutEvent(key string, v any) {
	cluster.revision++
	cluster.kv[key] = protocol.KeyValue{Key: key, Value: mustjson.Marshal(v), Version: cluster.revision}
}
