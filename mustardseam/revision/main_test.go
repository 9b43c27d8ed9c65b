package revision

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests, so that their verdict depends on the tree only.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
