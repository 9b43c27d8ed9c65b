package engine

import (
	"slices"
	"time"
)

// Event is a cache event in the response of GET /cache-events. Numbers are consecutive; a missing one is a lost event.
type Event struct {
	Number  uint64 `json:"number"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted"`
}

// timedEvent is an event and the time at which it occurred.
type timedEvent struct {
	at    time.Time
	event Event
}

// eventLog keeps the newest events.
type eventLog struct {
	limit int
	last  uint64
	list  []timedEvent
}

// add assigns the next number to an event and keeps the event unless it is an injected gap.
func (l *eventLog) add(now time.Time, block uint64, evicted bool, gapEvery int) {
	l.last++
	if gapEvery > 0 && l.last%uint64(gapEvery) == 0 {
		return
	}
	l.list = append(l.list, timedEvent{now, Event{l.last, block, evicted}})
	if len(l.list) > 2*l.limit {
		l.list = slices.Clone(l.list[len(l.list)-l.limit:])
	}
}

// after returns the events with a higher number that occurred no later than until.
func (l *eventLog) after(number uint64, until time.Time) []Event {
	out := []Event{}
	for _, e := range l.list {
		if e.event.Number > number && !e.at.After(until) {
			out = append(out, e.event)
		}
	}
	return out
}
