package engine

import "time"

// Load is a load report, the response of GET /load.
type Load struct {
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age-ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Version  string `json:"version"`
}

// timedLoad is a load report and the time at which it was recorded.
type timedLoad struct {
	at   time.Time
	load Load
}

// recordLoad records the current load for publication after ReportLag; it must be called with mu held.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.sequence++
	e.reports = append(e.reports, timedLoad{now, Load{
		Sequence: e.sequence, Running: len(e.running), Waiting: len(e.waiting),
		Cold: e.coldLeft > 0, Version: e.version,
	}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

// publishedLoad returns the newest report that is at least ReportLag old, or the oldest one; it must be called with mu
// held.
func (e *Engine) publishedLoad() Load {
	if len(e.reports) == 0 {
		return Load{Cold: e.coldLeft > 0, Version: e.version}
	}
	l := e.reports[0].load
	l.AgeMS = time.Since(e.reports[0].at).Milliseconds()
	return l
}

// reportLoad returns the published report and records the time at which it first shows an unannounced cold start; it
// must be called with mu held.
func (e *Engine) reportLoad() Load {
	l := e.publishedLoad()
	if l.Cold && e.unannouncedCold && e.coldReportedAt.IsZero() {
		e.coldReportedAt = time.Now()
	}
	return l
}
