package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// eventsCommand lists events.
type eventsCommand struct {
	Follow   bool          `help:"Go on printing new events until interrupted."`
	Interval time.Duration `help:"Time between two reads of the store with --follow." default:"2s"`
}

// Run prints the events of rollouts and data centres.
func (c *eventsCommand) Run(ctx context.Context, e *env) error {
	var docs documents
	if c.Follow {
		return c.follow(ctx, e, &docs)
	}
	list, err := e.events(ctx, &docs)
	if err != nil {
		return err
	}
	return e.print(eventList{Events: list})
}

// minInterval keeps followers from using up the store's rate of reads.
const minInterval = 500 * time.Millisecond

// follow prints each event once. An outage of the store only delays events, so it is reported and does not end it.
func (c *eventsCommand) follow(ctx context.Context, e *env, docs *documents) error {
	seen := map[event]bool{}
	failing := false
	for {
		list, err := e.events(ctx, docs)
		if err != nil && !failing && ctx.Err() == nil {
			_, _ = fmt.Fprintf(e.std.err, "mustardctl: %v; trying again\n", err)
		}
		failing = err != nil
		for _, ev := range list {
			if seen[ev] {
				continue
			}
			seen[ev] = true
			if err := e.printEvent(ev); err != nil {
				return err
			}
		}
		if e.pause(ctx, max(c.Interval, minInterval)) != nil {
			return nil // Interrupted, which is how following ends.
		}
	}
}

// printEvent writes one line, because tables align only when they are complete.
func (e *env) printEvent(ev event) error {
	if e.cfg.Output == outputJSON {
		return json.NewEncoder(e.std.out).Encode(ev)
	}
	return writeTable(e.std.out, ev)
}
