package entry

import (
	"slices"
	"time"
)

// DutiesConfig holds the settings of the duties of which one instance at a time is the holder.
type DutiesConfig struct {
	Names         []string      // Duties to perform, as UsageReportDuty; empty for none.
	CallsPerS     float64       // Calls a second that the platform accepts from all instances together; 0 for no limit.
	LeaseTTL      time.Duration // Lifetime of the lease on the record of the holder.
	ReportWindow  time.Duration // Length of a usage window.
	ReportDue     time.Duration // Time from the end of a usage window until its report is due.
	MaxValueBytes int           // Maximum size of an item of the store; 0 for no limit.
	LeaseStore    LeaseStore
	UsageReporter UsageReporter
	ScaleOrderer  ScaleOrderer
}

// Has reports whether a duty is to be performed.
func (c DutiesConfig) Has(name string) bool { return slices.Contains(c.Names, name) }

// Enabled reports whether any duty is to be performed.
func (c DutiesConfig) Enabled() bool { return len(c.Names) > 0 }
