package main

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/mustardseam/mustardseam/mustardseam/rollout"
)

// rolloutRecords maps rollout IDs to their records.
type rolloutRecords map[string]rollout.Record

// rollouts reads all rollout records. Records that cannot be decoded are skipped, so that they do not hide the others.
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
