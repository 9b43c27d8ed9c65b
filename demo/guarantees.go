package main

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/demo/cluster"
)

// guarantees counts the violations of each guarantee in design 1.2; it must be called with mu held.
func (r *demoRun) guarantees() []guarantee {
	runs := r.cluster.Executions()
	return []guarantee{
		r.countViolations(1, "a request is dispatched at most once", func(x result) (bool, bool) {
			return !x.order, runs[x.id()] > 1
		}),
		r.tierInversions(),
		{
			3, fmt.Sprintf("a bad version gets a small share (%.3f), and none soon after its fault shows", r.observed.badShare),
			1, boolToInt(!r.observed.badRolledBack && !r.opts.Calm) + r.observed.badExcess + r.observed.badLate,
		},
		r.coldOverload(),
		{5, "a data centre taken out gets no new work after " + seconds(withdrawalBound), 1, r.observed.lateToDataCentre},
		r.countViolations(6, "each caller gets the whole answer to its own request, or is told that it is incomplete", func(x result) (bool, bool) {
			return x.err != nil || x.answer.Status == 200, x.err != nil || !x.answer.Complete && x.answer.Type != "incomplete"
		}),
		r.countViolations(7, "a refusal that says not run is true", func(x result) (bool, bool) {
			return x.answer.NotRun && x.idempotencyKey == "", runs[x.id()] > 0
		}),
		r.countViolations(8, "a non-idempotent request runs at most once", func(x result) (bool, bool) {
			return x.order, runs[x.id()] > 1
		}),
		{9, "a leaving backend server gets no new work after " + seconds(withdrawalBound), 1, r.observed.lateToServer},
		{10, "a planned stop cuts off no request", 1, r.observed.interruptedStops},
		{
			11, fmt.Sprintf("a configuration is in force everywhere within %s (worst %s) and never reverts", seconds(propagationBound), seconds(r.observed.maxPropagation)),
			int(r.cluster.Revision()), r.observed.reverts + boolToInt(r.observed.maxPropagation > propagationBound),
		},
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// id returns the key of the request in Cluster.Executions.
func (x result) id() string {
	if x.order {
		return "order " + x.idempotencyKey
	}
	return "tag " + cluster.Tag(x.prompt)
}

// countViolations counts the results to which a guarantee applies and those that violate it.
func (r *demoRun) countViolations(number int, text string, test func(result) (concerned, violated bool)) guarantee {
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

// delayMargin prevents network and scheduling delays from counting as time in the queue.
const delayMargin = 50 * time.Millisecond

// tierInversions counts requests that were shed from a full queue while one of a lower tier was waiting. A request has
// left the queue when the header of its streamed response arrives; the header of a response without streaming arrives
// only with its end and tells nothing about the queue.
func (r *demoRun) tierInversions() guarantee {
	g := guarantee{Number: 2, Text: "a higher tier is never shed before a lower one"}
	for _, x := range r.results {
		if x.order || x.answer.Type != "queue-full" {
			continue
		}
		g.Checked++
		for _, y := range r.results {
			waiting := !y.order && !y.nonStreaming && y.tier > x.tier && y.answer.Sent.Add(delayMargin).Before(x.answer.End) &&
				y.answer.HeadReceived.Add(-delayMargin).After(x.answer.End)
			if waiting {
				g.Violations++
				break
			}
		}
	}
	return g
}

// coldOverload counts requests that a backend server in cold start received above its cold limit. After an unannounced
// cold start, requests that arrive before a load report that was read shows it, or within the start window of permits
// after that, are printed but not counted, because no instance could know of the cold start (design 2.1, 3.3).
func (r *demoRun) coldOverload() guarantee {
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
