package entry

import (
	"context"
	"errors"
)

// Names of duties.
const (
	UsageReportDuty = "usage-report"
	AutoscaleDuty   = "autoscale"
)

// Errors of UsageReporter and ScaleOrderer that callers test for with errors.Is.
var (
	// ErrFenced reports that the platform has seen a higher fencing token.
	ErrFenced = errors.New("another holder has used a higher fencing token")
	// ErrRateLimited reports that all instances together have made too many calls.
	ErrRateLimited = errors.New("too many calls on duties")
)

// UsageReporter reports the usage of teams to the platform.
type UsageReporter interface {
	// ReportUsage reports how many requests of each team began in a window. It returns ErrFenced or ErrRateLimited if the
	// platform refused the report; after any other error the platform may have accepted it.
	ReportUsage(ctx context.Context, holder string, token, window int64, counts map[string]int64) error
}

// ScaleOrderer orders backend servers from the platform.
type ScaleOrderer interface {
	// OrderScale orders the number of backend servers of a service in a data centre. It returns ErrFenced or ErrRateLimited
	// if the platform refused the order; after any other error the platform may have accepted it.
	OrderScale(ctx context.Context, holder string, token int64, service, dataCentre string, desired int) error
}
