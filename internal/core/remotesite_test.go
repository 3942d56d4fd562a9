package core

import (
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// remoteSite plays another site, which answers messages as a test wants. Its jobs never
// leave a message out: whatever is not answered is sent again.
type remoteSite struct {
	w *world
	// decide answers an offer, end tells the state in which the job has ended there,
	// or nothing yet.
	decide   func(m federation.Message) federation.Message
	end      func() string
	seen     int
	answered map[federation.Epoch]federation.Message
}

// newFederatedWorld is a world whose controllers are in a federation with a site called far.
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
	f := &remoteSite{w: w, answered: map[federation.Epoch]federation.Message{}, end: func() string { return "" }}
	f.decide = func(m federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Accepted: true, Done: 1, Running: 2}
	}
	w.ready()
	return w, f
}

// play answers what comes, at any controller.
func (f *remoteSite) play(d time.Duration, done func() bool) bool {
	return f.w.run(d, func() bool {
		for ; f.seen < len(f.w.sent); f.seen++ {
			f.receive(f.w.sent[f.seen])
		}
		return done()
	})
}

func (f *remoteSite) send(m federation.Message) {
	m.From, m.To = "far", "near"
	f.w.send(nodeNames[f.seen%len(nodeNames)], SiteMessageReceived{Message: m})
}

func (f *remoteSite) receive(m federation.Message) {
	answer, known := f.answered[m.Epoch]
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
	f.answered[m.Epoch] = answer
	if state := f.end(); answer.Accepted && state != "" {
		answer = federation.Message{Kind: federation.KindResult, State: state}
	}
	answer.Epoch = m.Epoch
	f.send(answer)
}

// remoteZoneOnly is what a job asks for that only far has.
const remoteZoneOnly = `,"yard":"z9"`

// submitRemote hands in a job that only far can run.
func (f *remoteSite) submitRemote(id string) {
	f.w.t.Helper()
	if a := f.w.submit("a", id, 3, remoteZoneOnly); a.Status != http.StatusCreated {
		f.w.t.Fatalf("submission got %d", a.Status)
	}
}

// putUnwatched writes a key of which the watch does not know yet.
func (w *world) putUnwatched(key string, v any) {
	w.revision++
	w.kv[key] = protocol.KeyValue{Key: key, Value: mustjson.Marshal(v), Version: w.revision}
}
