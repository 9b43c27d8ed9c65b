package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// FuzzMerge guards against a message of another instance that ends the process or exceeds the bounds of the table.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(`[{"server":{"id":"a"},"parts":["p","q"],"sound":["p","x"],"age-ms":100,"refused-ms":5}]`))
	f.Add([]byte(`[{"parts":[""],"age-ms":-9223372036854775808},{"server":{"id":"b"},"parts":["p","p"],"age-ms":9223372036854775807}]`))
	f.Fuzz(func(t *testing.T, message []byte) {
		var crashes []fleet.Crash
		if json.Unmarshal(message, &crashes) != nil {
			return
		}
		table, now := newTestTable(), time.Now()
		for range 2 {
			table.Merge(now, crashes)
		}
		assert.Assert(t, table.Len() <= maxRecords)
		for _, c := range crashes {
			table.Match(now.Add(time.Hour), c.Parts)
			table.RecordAnswer(now, c.Parts)
		}
		saved := table.Unsaved(now, nil)
		assert.Assert(t, saved == nil || table.Unsaved(now, saved) == nil)
		table.Sweep(now.Add(2 * RefusalTime))
	})
}
