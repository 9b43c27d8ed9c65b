package settings

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const testKey = "0123456789abcdef"

// TestMinimalFileUsesDefaults guards against a field without a default, with which a short file would no longer be
// valid.
func TestMinimalFileUsesDefaults(t *testing.T) {
	t.Setenv("PEER_KEY", testKey)
	s, err := Load("testdata/minimal.yaml")
	assert.NilError(t, err)
	assert.Equal(t, s.PeerKey.Value(), testKey)
	assert.Equal(t, s.Store.Timeout, time.Second)
	assert.Equal(t, s.GracePeriod, s.Limits.RequestTimeout)
}

// TestInvalidFileErrors guards against an invalid file that is accepted, and against an error that does not say where
// the fault is, what is wrong and what is allowed.
func TestInvalidFileErrors(t *testing.T) {
	t.Setenv("PEER_KEY", testKey)
	t.Setenv("SHORT_KEY", "tiny")
	const address = "must be IP:port such as 10.0.0.1:8080, is "
	const name = "must be 1 to 63 lower-case letters, digits, hyphens or dots, is "
	tests := []struct {
		file string
		want []string
	}{
		{"unknown-member", []string{"line 13: limits.body-size: unknown member; allowed: body-bytes, header-bytes, " +
			"line-bytes, connections, idle, request, waiting"}},
		{"bad-id", []string{"line 1: id: " + name + `"Entry 1"`}},
		{"host-name", []string{"line 4: caller-address: " + address + `"localhost:8080"`}},
		{"missing-region", []string{"region: " + name + "missing"}},
		{"bare-duration", []string{"line 13: limits.idle: must be a duration such as 500ms, 30s or 5m"}},
		{"short-grace", []string{"line 14: grace: must be 10m0s to 2h0m0s, is 30s"}},
		{"inline-secret", []string{"line 11: peer-key: must be a mapping with the members file, env"}},
		{"short-secret", []string{"line 11: peer-key: secret in environment variable SHORT_KEY must have at least " +
			"16 bytes, has 4"}},
		{"store-scalar", []string{"line 8: store.addresses: must be a list"}},
		{"duplicate-member", []string{`line 12: invalid YAML: mapping key "id" already defined at [1:1]`}},
		{"fraction", []string{"line 12: replay.bytes: must be a whole number"}},
		{"log-values", []string{
			`line 13: log.level: must be one of debug, info, warn, error, is "verbose"`,
			`line 14: log.format: must be one of json, console, is "text"`,
		}},
		{"two-faults", []string{
			"line 6: admin-address: must differ from caller-address and peer-address",
			`line 13: previous-peer-key: cannot read file "testdata/absent"; it must exist and be readable`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			_, err := Load("testdata/" + tt.file + ".yaml")
			var faults FieldErrors
			assert.Assert(t, errors.As(err, &faults))
			assert.Equal(t, err.Error(), strings.Join(tt.want, "\n"))
		})
	}
}

// TestSecretIsNotShown guards against a secret in a log line, a state dump or printed settings.
func TestSecretIsNotShown(t *testing.T) {
	t.Setenv("PEER_KEY", testKey)
	s, err := Load("testdata/minimal.yaml")
	assert.NilError(t, err)
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		text := fmt.Sprintf(format, s) + fmt.Sprintf(format, &s.PeerKey)
		assert.Assert(t, !strings.Contains(text, testKey), format)
		assert.Assert(t, !strings.Contains(text, fmt.Sprintf("%x", testKey)), format)
	}
	for _, marshal := range []func(any) ([]byte, error){json.Marshal, yaml.Marshal} {
		b, err := marshal(s)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(b), testKey))
		assert.Assert(t, strings.Contains(string(b), "PEER_KEY"))
	}
}

// TestMalformedFileReturnsError guards against a panic, or an error without a reason, on malformed input.
func TestMalformedFileReturnsError(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{
			"id: a", "store:", "limits: {", "}", "[", "]", "- ", "  ", "\n", "\t", ": ", "&a ", "*a", "!!int ", "<<: ", "'",
			"\"", "---", "...", "? ", "| ", "> ", "#", "peer-key: {env: X}", "replay: {bytes: 1}", "\x00", "\xff", "~",
		})
		text := strings.Join(rapid.SliceOfN(piece, 0, 12).Draw(t, "text"), "")
		_, err := Parse([]byte(text))
		assert.Assert(t, err != nil && err.Error() != "")
	})
}
