// Package mustjson encodes values that always have a JSON form.
package mustjson

import "github.com/segmentio/encoding/json"

// Marshal is the JSON form of plain data: values without channels, functions or cycles. Anything
// else is a mistake in the program, so it panics.
func Marshal(v any) json.RawMessage {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}
