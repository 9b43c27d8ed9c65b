package revision

import (
	"context"
	"encoding/json"

	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// checkRollouts compares a document with the accepted one and the records of its rollouts. The head's swap fails when
// another document is accepted meanwhile, so no rollout can begin between this check and the acceptance.
func checkRollouts(ctx context.Context, store Store, head Head, next operator.Document) error {
	before, err := accepted(ctx, store, head)
	if err != nil {
		return harmless(err, "read accepted document")
	}
	records := records{}
	for _, r := range append(before.Routes[:len(before.Routes):len(before.Routes)], next.Routes...) {
		if err := records.read(ctx, store, r); err != nil {
			return harmless(err, "read rollout")
		}
	}
	if err := rollout.CheckConflict(before, next, records.running()); err != nil {
		return err
	}
	return rollout.CheckReusedIDs(before, next, func(id string) bool { return records[id] != "" })
}

// accepted returns the document that the head names, an empty one before the first.
func accepted(ctx context.Context, store Store, head Head) (operator.Document, error) {
	if head.Revision == 0 {
		return operator.New(), nil
	}
	packed, err := Fetch(ctx, store, head.Digest)
	if err != nil {
		return operator.Document{}, err
	}
	return Decode(packed, head.Digest)
}

// records holds the states of rollouts by id; that of a rollout without a record is empty.
type records map[string]rollout.State

func (r records) read(ctx context.Context, store Store, route operator.Route) error {
	if route.Rollout == nil {
		return nil
	}
	id := route.Rollout.ID
	if _, ok := r[id]; ok {
		return nil
	}
	kv, ok, err := store.Get(ctx, rollout.Key(id))
	if err != nil {
		return err
	}
	r[id] = ""
	if ok {
		var rec rollout.Record
		if json.Unmarshal(kv.Value, &rec) != nil || rec.State == "" {
			rec.State = rollout.Running // It cannot be read, so it must not be overwritten.
		}
		r[id] = rec.State
	}
	return nil
}

// running returns the ids of the rollouts that are open, or have no record yet and may begin at any moment.
func (r records) running() []string {
	var ids []string
	for id, state := range r {
		if state != rollout.Done && state != rollout.RolledBack {
			ids = append(ids, id)
		}
	}
	return ids
}
