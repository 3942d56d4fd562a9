package emulator

import (
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/protocol"
)

// call sends one request to the state service.
func call(s *StateService, method, path, body string) (int, string) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	s.handle(ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestStateServiceRefusesWhatTheProtocolForbids(t *testing.T) {
	limits := Default().State
	limits.TxnOps, limits.ValueKB, limits.WriteRPS, limits.RPS = 2, 0.01, 3, 1000
	for name, c := range map[string]struct {
		method, path, body string
		status             int
	}{
		"a change":            {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":1}]}`, 200},
		"only a comparison":   {"POST", protocol.PathTxn, `{"if":[{"k":"k","lastTick":0}]}`, 200},
		"failed condition":    {"POST", protocol.PathTxn, `{"if":[{"k":"k","lastTick":7}],"then":[{"drop":"k"}]}`, 409},
		"unknown lease":       {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":1,"hold":9}]}`, 400},
		"too many changes":    {"POST", protocol.PathTxn, `{"then":[{"drop":"a"},{"drop":"b"},{"drop":"c"}]}`, 400},
		"too long a value":    {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":"0123456789abcdef"}]}`, 400},
		"key with a space":    {"POST", protocol.PathTxn, `{"then":[{"drop":"a b"}]}`, 400},
		"both at once":        {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":1,"drop":"k"}]}`, 400},
		"no JSON":             {"POST", protocol.PathTxn, `{"then":`, 400},
		"no such key":         {"GET", protocol.PathKV + "/none", "", 404},
		"too short a lease":   {"POST", protocol.PathLeases, `{"lifeMs":99}`, 400},
		"no such lease":       {"POST", protocol.PathLeases + "/7/" + protocol.PathRenew, "{}", 404},
		"watch without since": {"GET", protocol.PathWatch + "?starts=a", "", 400},
		"watch of the past":   {"GET", protocol.PathWatch + "?starts=a&since=0", "", 200},
		"no such path":        {"GET", "/", "", 404},
	} {
		s, err := NewStateService(limits, "")
		if err != nil {
			t.Fatal(err)
		}
		if status, body := call(s, c.method, c.path, c.body); status != c.status {
			t.Errorf("%s: got %d %s", name, status, body)
		}
	}
	s, err := NewStateService(limits, "")
	if err != nil {
		t.Fatal(err)
	}
	two := `{"then":[{"drop":"a"},{"drop":"b"}]}`
	call(s, "POST", protocol.PathTxn, two)
	if status, _ := call(s, "POST", protocol.PathTxn, two); status != http.StatusTooManyRequests {
		t.Errorf("beyond the limit on changes got %d", status)
	}
}

func TestOutageRefusesAndGivesLeasesTheirFullTimeAfterIt(t *testing.T) {
	s, err := NewStateService(Default().State, "")
	if err != nil {
		t.Fatal(err)
	}
	call(s, "POST", protocol.PathLeases, `{"lifeMs":600000}`)
	s.SetDown(true)
	s.kv.leases[1].ends = 0 // its time would be over
	s.expire()
	if status, _ := call(s, "GET", protocol.PathKV+"/k", ""); status != 503 {
		t.Errorf("in the outage got %d", status)
	}
	s.SetDown(false)
	if status, _ := call(s, "POST", protocol.PathLeases+"/1/"+protocol.PathRenew, "{}"); status != 200 || s.kv.leases[1].ends < time.Minute {
		t.Errorf("after the outage got %d", status)
	}
}
