package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// TestInvalidConfigIsRejected guards against an example file that is rejected and against errors in a file that are
// accepted silently.
func TestInvalidConfigIsRejected(t *testing.T) {
	b, err := os.ReadFile("example.yaml")
	assert.NilError(t, err)
	tests := []struct{ name, file, want string }{
		{"example", string(b), ""},
		{"empty", "{}", ""},
		{"unknown member", "stroe: 127.0.0.1:1", "stroe"},
		{"address without port", "engines: [{name: a, address: localhost}]", "engines[0]: address"},
		{"name twice", "services: [{name: a}, {name: a}]", "services[1]: name"},
		{"unknown state", "platform: {instances: [{id: a, state: gone}]}", "state must be"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parseConfig([]byte(tt.file))
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

// TestEveryAddressIsPrinted guards against a stand-in that is not started or whose address is not printed.
func TestEveryAddressIsPrinted(t *testing.T) {
	cfg, err := configFromFlags(commandLine{Engines: 2, Services: 1, Instance: []string{"entry-1=127.0.0.1:8081=amman-1"}})
	assert.NilError(t, err)
	s, err := start(cfg, zerolog.Nop())
	assert.NilError(t, err)
	defer s.close()
	var out bytes.Buffer
	s.print(&out)
	assert.Equal(t, strings.Count(out.String(), "127.0.0.1:"), 5, "%s", out.String())
	_, err = configFromFlags(commandLine{Instance: []string{"entry-1"}})
	assert.ErrorContains(t, err, "entry-1")
}
