package engine

import "time"

// Load is a load report as GET /load publishes it.
type Load struct {
	Sequence uint64 `json:"sequence"`
	AgeMS    int64  `json:"age-ms"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Cold     bool   `json:"cold"`
	Version  string `json:"version"`
}

// timedLoad is a report and the time at which it was true.
type timedLoad struct {
	at   time.Time
	load Load
}

// report keeps the load for later publication; it must be called with mu held.
func (e *Engine) report() {
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

// published returns the newest report that is at least ReportLag old; it must be called with mu held.
func (e *Engine) published() Load {
	if len(e.reports) == 0 {
		return Load{Cold: e.coldLeft > 0, Version: e.version}
	}
	l := e.reports[0].load
	l.AgeMS = time.Since(e.reports[0].at).Milliseconds()
	return l
}

// show returns the published report and notes when it first shows a sudden cold start; it must be called with mu held.
func (e *Engine) show() Load {
	l := e.published()
	if l.Cold && e.sudden && e.shownAt.IsZero() {
		e.shownAt = time.Now()
	}
	return l
}
