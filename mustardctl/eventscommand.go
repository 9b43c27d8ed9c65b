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
	var docs documentCache
	if c.Follow {
		return c.follow(ctx, e, &docs)
	}
	list, err := e.events(ctx, &docs)
	if err != nil {
		return err
	}
	return e.print(eventList{Events: list})
}

// minInterval is the shortest polling interval; it keeps --follow from exhausting the store's read rate.
const minInterval = 500 * time.Millisecond

// follow polls the store and prints each event once. It reports an outage of the store and continues, because the
// outage only delays events.
func (c *eventsCommand) follow(ctx context.Context, e *env, docs *documentCache) error {
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
		if e.sleep(ctx, max(c.Interval, minInterval)) != nil {
			return nil // Interrupted, the normal end of --follow.
		}
	}
}

// printEvent writes a single event as one line; column alignment would need the complete table.
func (e *env) printEvent(ev event) error {
	if e.cfg.Output == outputJSON {
		return json.NewEncoder(e.std.out).Encode(ev)
	}
	return writeTable(e.std.out, ev)
}
