package engine

import (
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/measure/clock"
)

// A saturated run is measured from saturatedWarmUp, when each slot has served several requests, to saturatedEnd.
const (
	saturatedWarmUp = 30 * time.Second
	saturatedEnd    = 120 * time.Second
)

// SaturatedThroughput returns the work per second that the engine completes when its batch is always full of requests
// from next.
func SaturatedThroughput(cfg Config, next func() Stream) time.Duration {
	c := &clock.Clock{}
	e := New(c, cfg, false)
	var done time.Duration
	n := 0
	var refill func(Stream)
	refill = func(s Stream) {
		if s.Tokens > 0 && c.Since() > saturatedWarmUp {
			done += ComputeTime(s.Prompt, s.Tokens)
		}
		n++
		fresh := next()
		fresh.ID = fmt.Sprint(n)
		fresh.End = refill
		c.After(0, func() { e.Admit(&fresh) })
	}
	for range cfg.MaxBatch {
		refill(Stream{})
	}
	c.Run(saturatedEnd)
	return done / time.Duration((saturatedEnd-saturatedWarmUp)/time.Second)
}
