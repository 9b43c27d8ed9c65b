package main

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

// rolloutRecords are records by the id of the rollout.
type rolloutRecords map[string]rollout.Record

// rollouts reads all records; one that cannot be decoded is passed over, so that it does not block the others.
func (e *env) rollouts(ctx context.Context) (rolloutRecords, error) {
	list, err := e.store.List(ctx, rollout.KeyPrefix)
	if err != nil {
		return nil, err
	}
	records := rolloutRecords{}
	for _, kv := range list {
		var r rollout.Record
		if json.Unmarshal(kv.Value, &r) == nil {
			records[strings.TrimPrefix(kv.Key, rollout.KeyPrefix)] = r
		}
	}
	return records, nil
}
