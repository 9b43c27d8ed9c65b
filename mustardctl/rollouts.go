package main

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// rolloutPrefix is the store prefix of the records of rollouts.
const rolloutPrefix = "rollouts/"

// The events of a rollout's record.
const (
	eventDone      = "done"
	eventTakenBack = "taken-back"
	eventLate      = "late"
)

// rolloutRecord holds the members of a rollout's record that this tool reads; others are ignored.
type rolloutRecord struct {
	ID     string         `json:"id"`
	Share  float64        `json:"share"` // Of requests, 0 to 1.
	Events []rolloutEvent `json:"events"`
}

// rolloutEvent is an entry of a record's events.
type rolloutEvent struct {
	Kind   string    `json:"kind"`
	At     time.Time `json:"at"`
	Reason string    `json:"reason,omitempty"`
}

// rolloutRecords are records by the id of the rollout.
type rolloutRecords map[string]rolloutRecord

// rollouts reads all records; one that cannot be decoded is passed over, so that it does not block the others.
func (e *env) rollouts(ctx context.Context) (rolloutRecords, error) {
	list, err := e.store.List(ctx, rolloutPrefix)
	if err != nil {
		return nil, err
	}
	records := rolloutRecords{}
	for _, kv := range list {
		var r rolloutRecord
		if json.Unmarshal(kv.Value, &r) != nil {
			continue
		}
		if r.ID == "" {
			r.ID = kv.Key[strings.LastIndex(kv.Key, "/")+1:]
		}
		records[r.ID] = r
	}
	return records, nil
}

// ended returns the ids of the rollouts that are done or rolled back.
func (r rolloutRecords) ended() map[string]bool {
	ids := map[string]bool{}
	for id, record := range r {
		if s := record.state(); s == eventDone || s == eventTakenBack {
			ids[id] = true
		}
	}
	return ids
}

// state returns the event that settles the rollout, or "running"; a rollback is final whatever else is recorded.
func (r rolloutRecord) state() string {
	for _, kind := range []string{eventTakenBack, eventDone, eventLate} {
		if slices.ContainsFunc(r.Events, func(ev rolloutEvent) bool { return ev.Kind == kind }) {
			return kind
		}
	}
	return "running"
}
