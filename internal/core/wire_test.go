package core

import (
	"reflect"
	"testing"

	"pepperlever/internal/core/relay"
	"pepperlever/internal/protocol"
)

// The JSON library (segmentio, v0.5.4) corrupts memory when it decodes a map from strings to
// slices of strings, and the garbage collector then aborts the process. So no decoded type may
// contain such a map, at any depth.
func TestNoDecodedTypeHasAMapOfStringSlices(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var walk func(reflect.Type, string)
	walk = func(typ reflect.Type, path string) {
		if seen[typ] {
			return
		}
		seen[typ] = true
		switch typ.Kind() {
		case reflect.Map:
			if e := typ.Elem(); e.Kind() == reflect.Slice && e.Elem().Kind() == reflect.String {
				t.Errorf("%s is %s, which must not be decoded", path, typ)
			}
			walk(typ.Elem(), path+"[]")
		case reflect.Pointer, reflect.Slice, reflect.Array:
			walk(typ.Elem(), path)
		case reflect.Struct:
			for i := range typ.NumField() {
				walk(typ.Field(i).Type, path+"."+typ.Field(i).Name)
			}
		}
	}
	for _, v := range []any{
		PeerMessage{},
		relay.Page{},
		relayHeartbeat{},
		nodeRecord{},
		leaderRecord{},
		cordonRecord{},
		rentalIntent{},
		usageRecord{},
		cancelRecord{},
		protocol.Report{},
		protocol.Submission{},
		protocol.MachineList{},
		protocol.Catalog{},
		protocol.Changes{},
		protocol.KeyList{},
	} {
		walk(reflect.TypeOf(v), reflect.TypeOf(v).Name())
	}
	if len(seen) < 30 {
		t.Errorf("only %d types were checked, want at least 30", len(seen))
	}
}
