package core

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/relay"
	"pepperlever/internal/federation"
	"pepperlever/internal/settings"
)

// productionFiles were written by the version that deploy/service.toml names as production:
// samples of what it stores and sends to other controllers, and the fields of the types that it
// reads and writes.
const productionFiles = "testdata/production"

// samples are values that production stored, by key, and messages that it sent.
type samples struct {
	Stored   map[string]json.RawMessage `json:"stored"`
	Messages []json.RawMessage          `json:"messages"`
}

func productionSamples(t *testing.T) (s samples) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(productionFiles, "samples.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// sharedTypes are what controllers store and send, but for jobs, which the samples show. Their
// names are those in fields.txt.
func sharedTypes() map[string]any {
	return map[string]any{
		"message":      PeerMessage{},
		"node":         nodeRecord{},
		"home":         leaderRecord{},
		"mark":         cordonRecord{},
		"state":        finalStateRecord{},
		"counter":      tokenCounter{},
		"intent":       rentalIntent{},
		"record":       usageRecord{},
		"cancellation": cancelRecord{},
		"page":         relay.Page{},
		"page beat":    relayHeartbeat{},
		"spec":         job.Spec{},
		"away":         federation.Outgoing{},
		"taken":        federation.Incoming{},
	}
}

// fields lists the JSON fields of a type with their types, however deep.
func fields(path string, typ reflect.Type, within []reflect.Type) (out []string) {
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return fields(path+"[]", typ.Elem(), within)
	case reflect.Map:
		return fields(path+"{"+typ.Key().Kind().String()+"}", typ.Elem(), within)
	case reflect.Struct:
	default:
		return []string{path + " " + typ.Kind().String()}
	}
	if slices.Contains(within, typ) {
		return []string{path + " again"}
	}
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, rest, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			out = append(out, fields(path, f.Type, append(within, typ))...)
		case f.IsExported() && name != "-":
			if name == "" {
				name = f.Name
			}
			out = append(out, fields(path+"."+name+"("+rest+")", f.Type, append(within, typ))...)
		}
	}
	return out
}

func sharedFields() []string {
	var out []string
	for name, of := range ordered(sharedTypes()) {
		out = append(out, fields(name, reflect.TypeOf(of), nil)...)
	}
	return out
}

// Every field that production reads or writes is there as it was, and only those that are
// written once all controllers are upgraded are new.
func TestFieldsOfProductionStayAsTheyWere(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(productionFiles, "fields.txt"))
	if err != nil {
		t.Fatal(err)
	}
	before, now := strings.Split(strings.TrimSpace(string(raw)), "\n"), sharedFields()
	onlyUpgraded := []string{"spec.aw(omitempty)[] string"}
	now = slices.DeleteFunc(now, func(f string) bool { return slices.Contains(onlyUpgraded, f) })
	if diff := cmp.Diff(before, now); diff != "" {
		t.Error(diff)
	}
}

// What production has stored and sent is read completely, and written again as it was.
func TestMessagesOfProductionReadBack(t *testing.T) {
	s := productionSamples(t)
	kinds := map[string]int{}
	for _, raw := range s.Messages {
		var m PeerMessage
		if err := decodeStrictly(raw, &m); err != nil {
			t.Errorf("%s: %v", raw, err)
		}
		for f, v := range ordered(keysOf(t, raw)) {
			if len(v) > 0 {
				kinds[f]++
			}
		}
		again, err := json.Marshal(m)
		if err != nil || !sameJSON(t, raw, again) {
			t.Errorf("message %s becomes %s (%v)", raw, again, err)
		}
	}
	for _, kind := range []string{"a", "b", "c", "f", "j", "k", "o", "s", "w"} {
		if kinds[kind] == 0 {
			t.Errorf("no message of production has the field %s", kind)
		}
	}
}

// The heads of jobs that production has stored are read, and written again as they were.
func TestHeadsOfProductionReadBack(t *testing.T) {
	s := productionSamples(t)
	cfg := testSettings("a")
	cfg.Params.State.ValueKB = 1
	read := New(cfg, settings.DefaultPolicy(), "a1")
	heads := 0
	for key, raw := range ordered(s.Stored) {
		id, chunk, ok := parseJobKey(key)
		if !strings.HasPrefix(key, keyJob) || !ok || chunk != firstChunk {
			continue
		}
		heads++
		j := job.New(job.Spec{ID: id}, read.limits.defaultChunkSize(), 0)
		if err := j.LoadHead(compact(t, raw)); err != nil {
			t.Errorf("%s: %v", key, err)
		}
		if again := j.Head(); !sameJSON(t, raw, again) {
			t.Errorf("%s: %s becomes %s", key, raw, again)
		}
	}
	if heads < 5 {
		t.Errorf("only %d heads of jobs among the samples", heads)
	}
}

// As long as one controller has the version before, nothing is stored in a form that it does
// not know, whatever happens, but for the statements of the others.
func TestNothingNewIsStoredBeforeAllAreUpgraded(t *testing.T) {
	known := map[string]bool{}
	for key, raw := range productionSamples(t).Stored {
		notePaths(known, kindOf(key), decoded(t, raw))
	}
	w := newTunedWorld(t, fiveNodes, func(s *settings.Settings) {
		s.Params.State.ValueKB = 1
		s.Params.State.Next = settings.StateLimits{ValueKB: 0.5, TxnOps: 5}
	})
	w.notUpgraded["c"], w.allowRacingStarts = true, true
	statements, chunks := 0, 0
	w.onEffect = func(node string, e Effect) {
		x, is := e.(StoreTxn)
		if !is {
			return
		}
		for _, ch := range x.Txn.Then {
			if strings.HasPrefix(ch.Put, keyVersion) {
				statements++
				continue
			}
			if strings.HasPrefix(ch.Put, keyJob) && strings.Count(ch.Put, "/") > 2 {
				chunks++
			}
			if ch.Put == "" {
				continue
			}
			written := map[string]bool{}
			notePaths(written, kindOf(ch.Put), decoded(t, json.RawMessage(ch.Value)))
			for path := range written {
				if !known[path] {
					t.Errorf("%s stores %s at %s", node, path, ch.Put)
				}
			}
		}
	}
	for i := range 40 {
		w.addWorker(fmt.Sprintf("z%d", 1+i%2), i%3 == 0)
	}
	w.ready().run(10*time.Second, nil)
	accepted(t, w.submit("a", "req-free-1", 40, `,"vcpus":0.5`))
	accepted(t, w.submit("b", "req-red-1", 4, `,"shape":"group","samePlace":true`))
	w.run(5*time.Second, nil)
	leader := w.leaderOf("free")
	w.crash(leader)
	w.expire(leader)
	if !w.run(3*time.Minute, w.finished("req-free-1", "req-red-1")) {
		t.Error("jobs do not end")
	}
	if statements < len(fiveNodes)-1 || chunks == 0 {
		t.Fatalf("%d statements and %d chunks were stored", statements, chunks)
	}
}

// decodeStrictly reads JSON that has no unknown field.
func decodeStrictly(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	return d.Decode(into)
}

func keysOf(t *testing.T, raw json.RawMessage) (out map[string]json.RawMessage) {
	t.Helper()
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func decoded(t *testing.T, raw json.RawMessage) (out any) {
	t.Helper()
	if err := json.Unmarshal(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func compact(t *testing.T, raw json.RawMessage) json.RawMessage {
	t.Helper()
	var b bytes.Buffer
	if err := json.Compact(&b, raw); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func sameJSON(t *testing.T, a, b json.RawMessage) bool {
	t.Helper()
	return cmp.Equal(decoded(t, a), decoded(t, b))
}

// kindOf is what a key holds: its name without those of jobs, nodes and machines.
func kindOf(key string) string {
	if strings.HasPrefix(key, keyState) {
		return keyState
	}
	kind := key[:min(len(key), len(keyJob))]
	if strings.HasPrefix(key, keyJob) && strings.Count(key, "/") > 2 {
		kind += "chunk"
	}
	return kind
}

// notePaths adds the paths of all fields of a value. Names that are data, as those of teams
// and machine types are, count as one.
func notePaths(into map[string]bool, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			if len(k) > 2 {
				k = "*"
			}
			notePaths(into, path+"."+k, v[k])
		}
	case []any:
		for _, e := range v {
			notePaths(into, path+"[]", e)
		}
	default:
		into[path] = true
	}
}
