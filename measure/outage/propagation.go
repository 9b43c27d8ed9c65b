package outage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// An instance learns of a new head through its watch after watchDelay, or through a later heartbeat if the watch was lost.
const (
	watchDelay     = 50 * time.Millisecond
	lostWatchShare = 0.3 // Fraction of instances whose watch is lost and that depend on heartbeats.
)

// rollbackMark is the rollback mark that an instance sets during the outage.
const rollbackMark = "move-quote"

// Spread tracks how an update propagates to the instances.
type Spread struct {
	startedAt time.Duration
	active    bool
	received  map[string]bool
	Worst     time.Duration // Longest time from the start of an update to its arrival at an instance.
	Count     int           // Number of updates that all live instances received.
	Reverts   int           // Number of times an instance went back to an older configuration.
	Open      int           // Number of updates that some live instance has not received.
}

func (s *Spread) begin(at time.Duration) {
	s.startedAt, s.active, s.received = at, true, map[string]bool{}
	s.Open++
}

func (s *Spread) record(now time.Duration, id string, has bool) {
	if s.active && has && !s.received[id] {
		s.received[id] = true
		s.Worst = max(s.Worst, now-s.startedAt)
	}
}

// completeIfReceived completes the update when all live instances have received it.
func (s *Spread) completeIfReceived(live []*instance) {
	for _, i := range live {
		if !i.dead && !s.received[i.id] {
			return
		}
	}
	if s.active {
		s.active = false
		s.Open--
		s.Count++
	}
}

// Submit submits the site's document with another queue bound. If the response is lost, it submits again.
func (w *World) Submit(bound int) {
	d := w.cfg.Site.Document
	d = d.WithPool(d.Pools[0].WithMaxWaiting(bound))
	ctx := context.Background()
	head, _, err := revision.ReadHead(ctx, w.store)
	if err != nil {
		return
	}
	s := revision.Submission{ID: fmt.Sprint("s", bound), Author: "operator", Base: head.Revision, Document: d, At: w.Clock.Now()}
	for {
		done, err := revision.Submit(ctx, w.store, s)
		if err == nil {
			if w.store.down {
				w.Tally.Accepted++
			}
			w.notifyWatches(done.Revision)
			return
		}
		if w.store.down {
			return
		}
	}
}

// notifyWatches delivers the new head to the instances whose watch is not lost.
func (w *World) notifyWatches(rev uint64) {
	w.Config.begin(w.Clock.Since())
	for _, i := range w.instances {
		if w.rnd.Float64() < lostWatchShare && i != w.instances[0] {
			continue
		}
		w.Clock.After(watchDelay, func() {
			if cfg := w.fetchConfig(rev); cfg != nil && !i.dead {
				i.applyConfig(cfg)
			}
		})
	}
}

// fetchConfig reads the head and its document from the store. It returns nil if the store is down or the head
// is older than rev.
func (w *World) fetchConfig(rev uint64) *revision.Config {
	it, ok := w.store.keys[revision.HeadKey]
	var head revision.Head
	if !ok || w.store.down || json.Unmarshal(it.value.([]byte), &head) != nil || head.Revision < rev {
		return nil
	}
	packed, err := revision.FetchDocument(context.Background(), w.store, head.Digest)
	if err != nil {
		return nil
	}
	d, err := revision.DecodeDocument(packed, head.Digest)
	if err != nil {
		return nil
	}
	return revision.NewConfig(head.Revision, head.Digest, packed, d)
}

// applyConfig applies a configuration at the instance if it is newer than the current one.
func (i *instance) applyConfig(cfg *revision.Config) {
	w := i.w
	if cfg == nil || i.dead {
		return
	}
	i.config.Apply(cfg)
	now := i.config.Current().Revision
	if now < i.lastRev {
		w.Config.Reverts++
	}
	if now > i.lastRev {
		i.lastRev = now
		w.Config.record(w.Clock.Since(), i.id, true)
		w.Config.completeIfReceived(w.instances)
	}
}

// Mark sets the rollback mark at one random instance.
func (w *World) Mark() {
	w.Marks.begin(w.Clock.Since())
	i := w.randomInstance()
	i.marks.Add(rollbackMark)
	w.Marks.record(w.Clock.Since(), i.id, true)
}
