package cluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// rolloutState returns the state of the rollout's record in the store, or "" when there is none.
func (c *Cluster) rolloutState(id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	kv, ok, err := c.store.Get(ctx, rollout.Key(id))
	var rec rollout.Record
	if err != nil || !ok || json.Unmarshal(kv.Value, &rec) != nil {
		return ""
	}
	return string(rec.State)
}

// admittedFrom returns the number of requests admitted by the engines with index n and above.
func (c *Cluster) admittedFrom(n int) int {
	total := 0
	for _, e := range c.Engines[n:] {
		total += e.Stats().Admitted
	}
	return total
}

// submitOn submits a document based on the given revision.
func (c *Cluster) submitOn(base uint64, id string, d operator.Document) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := revision.Submit(ctx, c.store, revision.Submission{ID: id, Author: id, Base: base, Document: d, At: time.Now()})
	return err
}
