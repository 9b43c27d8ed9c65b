package promptcache

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPromptText guards against parts that change on the way between instances, and against malformed ones that are taken.
func TestPromptText(t *testing.T) {
	tests := []struct {
		name, json string
		prompt     Prompt
		err        string
	}{
		{"none", `""`, nil, ""},
		{"parts", `"5c1e07a2:320,ffffffffffffffff:1"`, Prompt{{0x5c1e07a2, 800}, {1<<64 - 1, 1}}, ""},
		{"no ID", `":1"`, nil, "ID of a prompt part"},
		{"no tokens", `"1"`, nil, "tokens of a prompt part"},
		{"too many tokens", `"1:ffffffff"`, nil, "tokens of a prompt part"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var p Prompt
			err := json.Unmarshal([]byte(test.json), &p)
			if test.err != "" {
				assert.ErrorContains(t, err, test.err)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, p, test.prompt)
			b, err := json.Marshal(test.prompt)
			assert.NilError(t, err)
			assert.Equal(t, string(b), test.json)
		})
	}
}

// TestParseID guards against parts that are mixed up because their IDs are not what was expected.
func TestParseID(t *testing.T) {
	assert.Equal(t, ParseID("5c1e07a2"), uint64(0x5c1e07a2))
	assert.Equal(t, ParseID("5C1E07A2"), uint64(0x5c1e07a2))
	ids := map[uint64]bool{}
	for _, text := range []string{"5c1e07a2", "00112233445566778899", "00112233445566778898", "x", "-1", "+1"} {
		ids[ParseID(text)] = true
	}
	assert.Equal(t, len(ids), 6)
	assert.Equal(t, ParseID("00112233445566778899AB"), ParseID("00112233445566778899ab"))
}
