package emulator

import (
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/protocol"
)

// call sends a request to the state service and returns the status and body of the response.
func call(s *StateService, method, path, body string) (int, string) {
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.SetBodyString(body)
	s.handle(ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestStateServiceRejectsInvalidRequests(t *testing.T) {
	limits := Default().State
	limits.TxnOps, limits.ValueKB, limits.WriteRPS, limits.RPS = 2, 0.01, 3, 1000
	for name, c := range map[string]struct {
		method, path, body string
		status             int
	}{
		"one change":                     {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":1}]}`, 200},
		"only a condition":               {"POST", protocol.PathTxn, `{"if":[{"k":"k","lastTick":0}]}`, 200},
		"failed condition":               {"POST", protocol.PathTxn, `{"if":[{"k":"k","lastTick":7}],"then":[{"drop":"k"}]}`, 409},
		"unknown lease":                  {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":1,"hold":9}]}`, 400},
		"too many changes":               {"POST", protocol.PathTxn, `{"then":[{"drop":"a"},{"drop":"b"},{"drop":"c"}]}`, 400},
		"value too long":                 {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":"0123456789abcdef"}]}`, 400},
		"key with a space":               {"POST", protocol.PathTxn, `{"then":[{"drop":"a b"}]}`, 400},
		"write and delete in one change": {"POST", protocol.PathTxn, `{"then":[{"write":"k","value":1,"drop":"k"}]}`, 400},
		"malformed JSON":                 {"POST", protocol.PathTxn, `{"then":`, 400},
		"no such key":                    {"GET", protocol.PathKV + "/none", "", 404},
		"lease too short":                {"POST", protocol.PathLeases, `{"lifeMs":99}`, 400},
		"no such lease":                  {"POST", protocol.PathLeases + "/7/" + protocol.PathRenew, "{}", 404},
		"watch without since":            {"GET", protocol.PathWatch + "?starts=a", "", 400},
		"watch from the first revision":  {"GET", protocol.PathWatch + "?starts=a&since=0", "", 200},
		"no such path":                   {"GET", "/", "", 404},
	} {
		s, err := NewStateService(limits, "")
		if err != nil {
			t.Fatal(err)
		}
		if status, body := call(s, c.method, c.path, c.body); status != c.status {
			t.Errorf("%s: got status %d with body %s", name, status, body)
		}
	}
	s, err := NewStateService(limits, "")
	if err != nil {
		t.Fatal(err)
	}
	twoDeletes := `{"then":[{"drop":"a"},{"drop":"b"}]}`
	call(s, "POST", protocol.PathTxn, twoDeletes)
	if status, _ := call(s, "POST", protocol.PathTxn, twoDeletes); status != http.StatusTooManyRequests {
		t.Errorf("above the rate limit on changes: got status %d, want 429", status)
	}
}

func TestOutageRejectsRequestsAndThenExtendsLeases(t *testing.T) {
	s, err := NewStateService(Default().State, "")
	if err != nil {
		t.Fatal(err)
	}
	call(s, "POST", protocol.PathLeases, `{"lifeMs":600000}`)
	s.SetDown(true)
	s.kv.leases[1].expiresAt = 0 // would expire if there were no outage
	s.expireLeases()
	if status, _ := call(s, "GET", protocol.PathKV+"/k", ""); status != 503 {
		t.Errorf("during the outage: got status %d, want 503", status)
	}
	s.SetDown(false)
	if status, _ := call(s, "POST", protocol.PathLeases+"/1/"+protocol.PathRenew, "{}"); status != 200 || s.kv.leases[1].expiresAt < time.Minute {
		t.Errorf("after the outage: got status %d, want 200 and an extended lease", status)
	}
}
