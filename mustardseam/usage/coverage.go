package usage

// Coverage says how completely the runs of all instances have counted a window.
type Coverage struct {
	Known    bool // Some run started before the end of the window, so that there is something to report.
	Complete int  // Runs that have counted all their requests.
	Awaited  int  // Running instances that have not yet.
	Silent   int  // Runs that ran in the window, have not counted it completely, and whose instance no longer reports.
	Lost     int  // As Silent, but the instance was started again.
}

// Missing returns the number of runs whose counts may be incomplete.
func (c Coverage) Missing() int { return c.Awaited + c.Silent + c.Lost }
