package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
)

// Times of the network, of the home and of failure detection, from design 1.1, 2.1 and 2.6.
const (
	betweenCentres = 500 * time.Microsecond
	withinCentre   = 50 * time.Microsecond
	toClient       = time.Millisecond
	tick           = 10 * time.Millisecond
	suspicion      = 1500 * time.Millisecond
	takeoverWait   = 2970 * time.Millisecond
)

// Config describes a run.
type Config struct {
	Site       site.Site
	Seed       uint64
	Make       Maker
	Arrivals   []load.Request
	Polls      time.Duration            // Period of load reports and cache events; 0 for 500 ms.
	Cold       func(server string) bool // Which engines start cold; nil for none.
	Retries    int                      // Times that a caller repeats a refused call.
	RetryAfter time.Duration            // Wait of a caller before it repeats a call, when the refusal names none.
}
