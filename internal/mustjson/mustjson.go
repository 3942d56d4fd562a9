// Package mustjson encodes values that can always be represented in JSON.
package mustjson

import "github.com/segmentio/encoding/json"

// Marshal returns the JSON encoding of plain data, that is, values without channels,
// functions or cycles. Anything else is a programming error, so it panics.
func Marshal(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
