package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMinimal guards against a field that has no default, so that a short file no longer works.
func TestMinimal(t *testing.T) {
	t.Setenv("PEER_KEY", "0123456789abcdef")
	s, err := Load("testdata/minimal.yaml")
	assert.NilError(t, err)
	assert.Equal(t, s.PeerKey.Value(), "0123456789abcdef")
	assert.Equal(t, s.Store.Timeout, time.Second)
	assert.Equal(t, s.Grace, s.Limits.Request)
}
