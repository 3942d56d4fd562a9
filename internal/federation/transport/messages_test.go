package transport

import (
	"crypto/tls"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"pepperlever/internal/federation"
)

// What is bad is refused with one line, and the good messages around it arrive.
func TestBadMessagesAreRefusedAndGoodOnesArrive(t *testing.T) {
	p := newPair(t)
	sign := func(change func(*federation.Ticket)) string {
		ticket := federation.Ticket{Origin: "east", To: "west", JobID: "req-1", Class: "k", Epoch: 3, Path: []federation.Site{"east"}, Body: json.RawMessage(`{"a":"<b>"}`)}
		signed, err := p.west.generation().secrets.tickets.Sign(ticket)
		if err != nil {
			t.Fatal(err)
		}
		change(&signed)
		return line(t, federation.Message{From: "east", To: "west", Kind: federation.KindOffer, Epoch: 3, Ticket: &signed})
	}
	none := func(*federation.Ticket) {}
	cases := []struct{ line, why string }{
		{line(t, federation.Message{From: "east", To: "west", Kind: federation.KindLoad}), ""},
		{"garbage", "message is not understood"},
		{strings.Repeat("x", maxLineBytes+1), "message is longer than"},
		{sign(none), ""},
		{line(t, federation.Message{From: "north", To: "west"}), `from "north", the certificate says "east"`},
		{line(t, federation.Message{From: "east", To: "north"}), `for "north"`},
		{sign(func(k *federation.Ticket) { k.Origin = "north" }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.To = "north" }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.Epoch = 4 }), "ticket is for another hand-off"},
		{sign(func(k *federation.Ticket) { k.JobID = "req-2" }), "signature is not that of key"},
		{sign(func(k *federation.Ticket) { k.MAC = nil }), "signature is not that of key"},
		{sign(func(k *federation.Ticket) { k.KeyID = "mine" }), `key "mine", which is not known`},
		{sign(none), ""},
	}
	var lines []string
	good := 0
	for _, c := range cases {
		lines = append(lines, c.line)
	}
	cert, err := tls.LoadX509KeyPair(strings.ReplaceAll(p.west.generation().cfg.Certificate, "west", "east"), strings.ReplaceAll(p.west.generation().cfg.Key, "west", "east"))
	if err != nil {
		t.Fatal(err)
	}
	status, back, err := p.post(t, cert, lines...)
	if status != http.StatusOK || err != nil {
		t.Fatalf("status %d, %v", status, err)
	}
	for _, c := range cases {
		switch {
		case c.why == "":
			good++
		case len(back) == 0 || !strings.Contains(back[0], c.why):
			t.Errorf("want %q, got %q", c.why, back)
		default:
			back = back[1:]
		}
	}
	if len(p.came) != good || p.west.Refused.Load() != int64(len(cases)-good) {
		t.Errorf("%d of %d good ones arrived, %d refused", len(p.came), good, p.west.Refused.Load())
	}
}
