package main

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/demo/cluster"
)

// guarantees counts the violations of each point of design 1.2; it must be called with mu held.
func (r *demoRun) guarantees() []guarantee {
	runs := r.cluster.Executions()
	return []guarantee{
		r.check(1, "a request is dispatched at most once", func(x result) (bool, bool) {
			return !x.order, runs[x.id()] > 1
		}),
		r.inversions(),
		{
			3, fmt.Sprintf("a bad version gets a small share (%.3f), and none soon after its fault shows", r.notes.badShare),
			1, count(!r.notes.badSeen && !r.opts.Calm) + r.notes.badOver + r.notes.badLate,
		},
		r.cold(),
		{5, "a data centre taken out gets no new work after " + seconds(leaveBound), 1, r.notes.lateToDataCentre},
		r.check(6, "each caller gets the whole answer to its own request, or is told that it is incomplete", func(x result) (bool, bool) {
			return x.err != nil || x.answer.Status == 200, x.err != nil || !x.answer.Whole && x.answer.Type != "incomplete"
		}),
		r.check(7, "a refusal that says not run is true", func(x result) (bool, bool) {
			return x.answer.NotRun && x.unique == "", runs[x.id()] > 0
		}),
		r.check(8, "a non-idempotent request runs at most once", func(x result) (bool, bool) {
			return x.order, runs[x.id()] > 1
		}),
		{9, "a leaving backend server gets no new work after " + seconds(leaveBound), 1, r.notes.lateToServer},
		{10, "a planned stop cuts off no request", 1, r.notes.cutOff},
		{
			11, fmt.Sprintf("a configuration is in force everywhere within %s (worst %s) and never reverts", seconds(forceBound), seconds(r.notes.slowest)),
			int(r.cluster.Revision()), r.notes.reverts + count(r.notes.slowest > forceBound),
		},
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// id names the work of a request: the key of an order, the tag of a prompt.
func (x result) id() string {
	if x.order {
		return "order " + x.unique
	}
	return "tag " + cluster.Tag(x.prompt)
}

// check counts the results that a guarantee concerns and those that violate it.
func (r *demoRun) check(number int, text string, test func(result) (concerned, violated bool)) guarantee {
	g := guarantee{Number: number, Text: text}
	for _, x := range r.results {
		concerned, violated := test(x)
		if !concerned {
			continue
		}
		g.Checked++
		if violated {
			g.Violations++
		}
	}
	return g
}

// margin keeps network and scheduling delays from being taken for waiting.
const margin = 50 * time.Millisecond

// inversions counts requests that were shed from a full queue while one of a lower tier was waiting. That a request has
// stopped waiting shows in the head of its streamed answer; the head of an answer without streaming comes with its end.
func (r *demoRun) inversions() guarantee {
	g := guarantee{Number: 2, Text: "a higher tier is never shed before a lower one"}
	for _, x := range r.results {
		if x.order || x.answer.Type != "queue-full" {
			continue
		}
		g.Checked++
		for _, y := range r.results {
			waiting := !y.order && !y.plain && y.tier > x.tier && y.answer.Sent.Add(margin).Before(x.answer.End) &&
				y.answer.Head.Add(-margin).After(x.answer.End)
			if waiting {
				g.Violations++
				break
			}
		}
	}
	return g
}

// cold counts requests that a backend server in cold start got beyond what it bears. After a server has turned cold
// without warning, requests that came before a read load report showed it, or within the start window of permits after
// that, are printed but not counted: nobody could know (design 2.1, 3.3).
func (r *demoRun) cold() guarantee {
	g := guarantee{Number: 4}
	unannounced := 0
	for _, e := range r.cluster.Engines {
		s := e.Stats()
		g.Checked += s.Admitted
		g.Violations += s.OverCold - s.Unannounced
		unannounced += s.Unannounced
	}
	g.Text = fmt.Sprintf("a backend server in cold start gets no more than it bears (%d before it showed cold)", unannounced)
	return g
}
