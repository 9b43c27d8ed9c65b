package jsonsize

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDecodedCountsContainersAndValues guards against an estimate that misses elements, or takes a part of a string for one.
func TestDecodedCountsContainersAndValues(t *testing.T) {
	tests := []struct {
		name, text         string
		containers, values int64
	}{
		{"empty", ``, 0, 0},
		{"number", `1`, 0, 0},
		{"object", `{}`, 1, 0},
		{"array of objects", `[{},{},{}]`, 4, 2},
		{"members", `{"a":1,"b":[1,2]}`, 2, 2},
		{"string of brackets", `["{[,",","]`, 1, 1},
		{"escaped quote", `["\",{",{}]`, 2, 1},
		{"escaped backslash", `["\\",{}]`, 2, 1},
		{"string without an end", `[{},"{{{`, 2, 1},
		{"escape without an end", `[{},"{{{\`, 2, 1},
		{"escaped quote without an end", `[{},"{{{\"`, 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, Decoded([]byte(test.text)), test.containers*containerBytes+test.values*valueBytes)
		})
	}
}

// TestDecodedAgreesWithDecoder guards against texts whose elements the estimate counts differently from a decoder.
func TestDecodedAgreesWithDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, err := json.Marshal(rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.String())).Draw(t, "value"))
		assert.NilError(t, err)
		containers, values := int64(0), int64(0)
		d := json.NewDecoder(bytes.NewReader(text))
		var open []int64 // Number of elements so far of each open container; names of members count too.
		for {
			token, err := d.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			assert.NilError(t, err)
			if delim, ok := token.(json.Delim); ok && (delim == '}' || delim == ']') {
				n := open[len(open)-1]
				open = open[:len(open)-1]
				if delim == '}' {
					n /= 2
				}
				values += max(0, n-1)
				continue
			}
			if len(open) > 0 {
				open[len(open)-1]++
			}
			if _, ok := token.(json.Delim); ok {
				containers++
				open = append(open, 0)
			}
		}
		assert.Equal(t, Decoded(text), containers*containerBytes+values*valueBytes)
	})
}
