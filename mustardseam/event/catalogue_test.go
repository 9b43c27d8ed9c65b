package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCatalogue guards against events that the catalogue in the docs misses, names otherwise, or has in excess.
func TestCatalogue(t *testing.T) {
	b, err := os.ReadFile("../../docs/log-events.md")
	assert.NilError(t, err)
	var rows []string
	for line := range strings.Lines(string(b)) {
		if cells := strings.Split(line, "|"); len(cells) >= 5 && strings.TrimSpace(cells[1]) != "number" &&
			!strings.HasPrefix(cells[1], "-") {
			rows = append(rows, strings.Join([]string{
				strings.TrimSpace(cells[1]), strings.Trim(strings.TrimSpace(cells[2]), "`"), strings.TrimSpace(cells[3]),
			}, " "))
		}
	}
	var want []string
	last := 0
	for _, e := range All() {
		assert.Assert(t, e.Number > last, "numbers must rise at %s", e.Name)
		last = e.Number
		want = append(want, fmt.Sprintf("%d %s %s", e.Number, e.Name, e.Level))
	}
	assert.DeepEqual(t, rows, want)
}
