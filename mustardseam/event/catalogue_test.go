package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCatalogueMatchesDocs guards against events that are missing from docs/log-events.md, differ there in number, name or
// level, or no longer exist in the code.
func TestCatalogueMatchesDocs(t *testing.T) {
	b, err := os.ReadFile("../../docs/log-events.md")
	assert.NilError(t, err)
	var got []string
	for line := range strings.Lines(string(b)) {
		if cells := strings.Split(line, "|"); len(cells) >= 5 && strings.TrimSpace(cells[1]) != "number" &&
			!strings.HasPrefix(cells[1], "-") {
			got = append(got, strings.Join([]string{
				strings.TrimSpace(cells[1]), strings.Trim(strings.TrimSpace(cells[2]), "`"), strings.TrimSpace(cells[3]),
			}, " "))
		}
	}
	var want []string
	previous := 0
	for _, e := range All() {
		assert.Assert(t, e.Number > previous, "numbers must be in ascending order at %s", e.Name)
		previous = e.Number
		want = append(want, fmt.Sprintf("%d %s %s", e.Number, e.Name, e.Level))
	}
	assert.DeepEqual(t, got, want)
}
