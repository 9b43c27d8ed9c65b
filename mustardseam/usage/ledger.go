package usage

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
)

// closed is the value of through for a run that counts no further requests.
const closed = math.MaxInt64

// Ledger holds the counts of recent windows by run of an instance. Its methods are safe for concurrent use.
type Ledger struct {
	self runID

	mu       sync.Mutex
	sequence int64 // Number of the latest change.
	runs     map[runID]*run
}

// runID identifies a run of an instance.
type runID struct {
	instance string
	run      int64
}

// run is what is known of a run.
type run struct {
	first, through int64
	changed        change // Latest change of first or through.
	windows        map[int64]*window
}

// window holds the counts of a run in a window.
type window struct {
	sequence int64 // Number of the latest change of a count.
	counts   map[string]count
}

// count is the number of requests of a team.
type count struct {
	n       int64
	changed change
}

// change says when a value changed, and from which ledger it came.
type change struct {
	sequence int64
	source   int64 // Run of the instance from which the value came; 0 for this one.
}

// NewLedger returns the ledger of a run of an instance that starts in a window.
func NewLedger(instance string, runNumber, first int64) *Ledger {
	l := &Ledger{self: runID{instance, runNumber}, runs: map[runID]*run{}}
	l.sequence++
	l.runs[l.self] = &run{first: first, through: first - 1, changed: change{sequence: l.sequence}, windows: map[int64]*window{}}
	return l
}

// Add counts a request of a team at this instance.
func (l *Ledger) Add(team string, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.runs[l.self].window(number)
	l.sequence++
	w.sequence = l.sequence
	w.counts[team] = count{n: w.counts[team].n + 1, changed: change{sequence: l.sequence}}
}

// Advance records that this instance has counted all requests of the windows before the current one, and forgets old windows.
func (l *Ledger) Advance(current int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.runs[l.self]
	if own.through < current-1 {
		l.sequence++
		own.through, own.changed = current-1, change{sequence: l.sequence}
	}
	for id, r := range l.runs {
		maps.DeleteFunc(r.windows, func(number int64, _ *window) bool { return number < current-retainedWindows })
		last := r.through
		if last == closed {
			last = slices.Max(append(slices.Collect(maps.Keys(r.windows)), r.first))
		}
		if id != l.self && last < current-retainedWindows {
			delete(l.runs, id)
		}
	}
}

// Close records that this instance counts no further requests.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	own := l.runs[l.self]
	own.through, own.changed = closed, change{sequence: l.sequence}
}

// Since returns what changed after a number of changes, apart from what came from the ledger of the given run, and the number
// of changes up to which it is complete.
func (l *Ledger) Since(sequence, peer int64) (runs []RunCounts, upTo int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNews := func(c change) bool { return c.sequence > sequence && (c.source == 0 || c.source != peer) }
	for id, r := range l.runs {
		c := RunCounts{Instance: id.instance, Run: id.run, First: r.first, Through: r.through, Windows: map[int64]map[string]int64{}}
		for number, w := range r.windows {
			if w.sequence <= sequence {
				continue
			}
			counts := map[string]int64{}
			for team, n := range w.counts {
				if isNews(n.changed) {
					counts[team] = n.n
				}
			}
			if len(counts) > 0 {
				c.Windows[number] = counts
			}
		}
		if len(c.Windows) > 0 || isNews(r.changed) {
			runs = append(runs, c)
		}
	}
	slices.SortFunc(runs, func(a, b RunCounts) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Run, b.Run))
	})
	return runs, l.sequence
}

// Merge takes over what the ledger of another instance, whose run is given, has counted.
func (l *Ledger) Merge(peer int64, runs []RunCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range runs {
		id := runID{c.Instance, c.Run}
		if id == l.self {
			continue
		}
		l.sequence++
		news := change{sequence: l.sequence, source: peer}
		r := l.runs[id]
		if r == nil {
			r = &run{first: c.First, through: c.Through, changed: news, windows: map[int64]*window{}}
			l.runs[id] = r
		}
		if c.Through > r.through {
			r.through, r.changed = c.Through, news
		}
		for number, counts := range c.Windows {
			w := r.window(number)
			for team, n := range counts {
				if n > w.counts[team].n {
					w.counts[team] = count{n: n, changed: news}
					w.sequence = news.sequence
				}
			}
		}
	}
}

// window returns the counts of a window, which it creates if necessary.
func (r *run) window(number int64) *window {
	w := r.windows[number]
	if w == nil {
		w = &window{counts: map[string]count{}}
		r.windows[number] = w
	}
	return w
}

// Total returns the sum of the counts of a window over all runs.
func (l *Ledger) Total(number int64) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := map[string]int64{}
	for _, r := range l.runs {
		if w := r.windows[number]; w != nil {
			for team, n := range w.counts {
				sum[team] += n.n
			}
		}
	}
	return sum
}

// Coverage returns how completely a window is counted, given the instances that reported lately.
func (l *Ledger) Coverage(number int64, active []string) Coverage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var c Coverage
	known := map[string]bool{}
	for id, r := range l.runs {
		reports := slices.Contains(active, id.instance)
		known[id.instance] = true
		switch {
		case r.first > number:
		case r.through >= number:
			c.Complete++
		case l.hasLaterRun(id, r):
			if r.through == number-1 {
				c.Lost++
			}
		case reports:
			c.Awaited++
		case r.through == number-1:
			c.Silent++
		}
	}
	c.Known = c.Complete+c.Lost+c.Awaited+c.Silent > 0
	for _, instance := range active {
		if !known[instance] {
			c.Awaited++
		}
	}
	return c
}

// hasLaterRun reports whether an instance was started again after a run; mu must be held.
func (l *Ledger) hasLaterRun(id runID, r *run) bool {
	for other, o := range l.runs {
		if other.instance == id.instance && other != id && o.first >= r.first && o.through > r.through {
			return true
		}
	}
	return false
}
