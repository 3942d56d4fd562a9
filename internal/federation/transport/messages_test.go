package transport

import (
	"crypto/tls"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"pepperlever/internal/federation"
)

// An invalid message must be answered with one line, and the valid messages around it must be
// delivered.
func TestInvalidMessagesAreRefusedAndValidOnesReceived(t *testing.T) {
	f := newFixture(t)
	sign := func(change func(*federation.Ticket)) string {
		ticket := federation.Ticket{Origin: "east", To: "west", JobID: "req-1", Class: "k", Epoch: 3, Path: []federation.Site{"east"}, Body: json.RawMessage(`{"a":"<b>"}`)}
		signed, err := f.west.generation().secrets.tickets.Sign(ticket)
		if err != nil {
			t.Fatal(err)
		}
		change(&signed)
		return messageLine(t, federation.Message{From: "east", To: "west", Kind: federation.KindOffer, Epoch: 3, Ticket: &signed})
	}
	unmodified := func(*federation.Ticket) {}
	cases := []struct{ messageLine, reason string }{
		{messageLine(t, federation.Message{From: "east", To: "west", Kind: federation.KindLoad}), ""},
		{"garbage", "invalid message"},
		{strings.Repeat("x", maxLineBytes+1), "message is longer than"},
		{sign(unmodified), ""},
		{messageLine(t, federation.Message{From: "north", To: "west"}), `message is from "north", but the certificate is for "east"`},
		{messageLine(t, federation.Message{From: "east", To: "north"}), `message is for "north", but this site is "west"`},
		{sign(func(k *federation.Ticket) { k.Origin = "north" }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.To = "north" }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.Epoch = 4 }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.JobID = "req-2" }), "ticket signature does not match key"},
		{sign(func(k *federation.Ticket) { k.MAC = nil }), "ticket signature does not match key"},
		{sign(func(k *federation.Ticket) { k.KeyID = "mine" }), `ticket is signed with unknown key "mine"`},
		{sign(unmodified), ""},
	}
	var lines []string
	validCount := 0
	for _, tc := range cases {
		lines = append(lines, tc.messageLine)
	}
	cert, err := tls.LoadX509KeyPair(strings.ReplaceAll(f.west.generation().cfg.Certificate, "west", "east"), strings.ReplaceAll(f.west.generation().cfg.Key, "west", "east"))
	if err != nil {
		t.Fatal(err)
	}
	status, responses, err := f.post(t, cert, lines...)
	if status != http.StatusOK || err != nil {
		t.Fatalf("got status %d, error %v", status, err)
	}
	for _, tc := range cases {
		switch {
		case tc.reason == "":
			validCount++
		case len(responses) == 0 || !strings.Contains(responses[0], tc.reason):
			t.Errorf("want refusal %q, got responses %q", tc.reason, responses)
		default:
			responses = responses[1:]
		}
	}
	if len(f.received) != validCount || f.west.Refused.Load() != int64(len(cases)-validCount) {
		t.Errorf("received %d of %d valid messages, refused %d", len(f.received), validCount, f.west.Refused.Load())
	}
}
