package revision

import (
	"context"
	"encoding/json"

	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// checkRollouts checks a document against the accepted one and the records of the rollouts in both. The swap of the
// head fails if another document is accepted in the meantime, so no rollout can begin between this check and the
// acceptance.
func checkRollouts(ctx context.Context, store Store, head Head, next operator.Document) error {
	before, err := acceptedDocument(ctx, store, head)
	if err != nil {
		return asUnavailable(err, "read accepted document")
	}
	states := rolloutStates{}
	for _, r := range append(before.Routes[:len(before.Routes):len(before.Routes)], next.Routes...) {
		if err := states.read(ctx, store, r); err != nil {
			return asUnavailable(err, "read rollout")
		}
	}
	if err := rollout.CheckConflict(before, next, states.open()); err != nil {
		return err
	}
	return rollout.CheckReusedIDs(before, next, func(id string) bool { return states[id] != "" })
}

// acceptedDocument returns the document that the head identifies, an empty one before the first.
func acceptedDocument(ctx context.Context, store Store, head Head) (operator.Document, error) {
	if head.Revision == 0 {
		return operator.New(), nil
	}
	packed, err := FetchDocument(ctx, store, head.Digest)
	if err != nil {
		return operator.Document{}, err
	}
	return DecodeDocument(packed, head.Digest)
}

// rolloutStates maps the ids of rollouts to their states. The state of a rollout without a record is empty.
type rolloutStates map[string]rollout.State

func (r rolloutStates) read(ctx context.Context, store Store, route operator.Route) error {
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
			rec.State = rollout.Running // A record that cannot be decoded must not be overwritten.
		}
		r[id] = rec.State
	}
	return nil
}

// open returns the ids of the rollouts that have not ended, including those without a record, which may begin at any
// moment.
func (r rolloutStates) open() []string {
	var ids []string
	for id, state := range r {
		if state != rollout.Done && state != rollout.RolledBack {
			ids = append(ids, id)
		}
	}
	return ids
}
