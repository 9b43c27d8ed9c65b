package drive

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/load"
	"github.com/mustardseam/mustardseam/measure/site"
)

// One-way network latencies, the home's decision interval, and failure detection and takeover times; see design 1.1,
// 2.1 and 2.6.
const (
	interCentreLatency   = 500 * time.Microsecond
	intraCentreLatency   = 50 * time.Microsecond
	clientLatency        = time.Millisecond
	decisionInterval     = 10 * time.Millisecond
	failureDetectionTime = 1500 * time.Millisecond
	takeoverWait         = 2970 * time.Millisecond
)

// Config holds the parameters of a simulation.
type Config struct {
	Site           site.Site
	Seed           uint64
	NewScheduler   SchedulerFactory
	Arrivals       []load.Request
	ReportInterval time.Duration            // Interval at which load reports and cache events are polled; 0 means 500 ms.
	ColdStart      func(server string) bool // Reports whether an engine starts cold; nil means that none does.
	MaxRetries     int                      // Maximum number of times that a caller repeats a refused or broken call.
	MinRetryDelay  time.Duration            // Minimum time before a caller repeats a call; a longer RetryAfter in the refusal wins.
}
