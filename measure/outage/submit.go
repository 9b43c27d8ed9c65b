package outage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// Times at which an instance learns of a new head: at once by its watch, or later when the watch was lost.
const (
	watchDelay = 50 * time.Millisecond
	lostWatch  = 0.3 // Share of instances whose watch is lost, which then depend on heartbeats.
)

// mark is the rollback mark that an instance sets while the store is down.
const mark = "move-quote"

// Spread follows how something new reaches the instances.
type Spread struct {
	since   time.Duration
	running bool
	has     map[string]bool
	Worst   time.Duration // Longest time until all live instances had it.
	Count   int           // New things that all instances have got.
	Reverts int
	Open    int // New things that some instance had not got at the end.
}

func (s *Spread) begin(at time.Duration) {
	s.since, s.running, s.has = at, true, map[string]bool{}
	s.Open++
}

func (s *Spread) note(now time.Duration, id string, has bool) {
	if s.running && has && !s.has[id] {
		s.has[id] = true
		s.Worst = max(s.Worst, now-s.since)
	}
}

// settle ends the spread when all live instances have it.
func (s *Spread) settle(live []*instance) {
	for _, i := range live {
		if !i.dead && !s.has[i.id] {
			return
		}
	}
	if s.running {
		s.running = false
		s.Open--
		s.Count++
	}
}

// Submit submits the site's document with another queue bound; an answer that was lost is settled by submitting again.
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
			w.publish(done.Revision)
			return
		}
		if w.store.down {
			return
		}
	}
}

// publish lets the watches tell the instances of the new head.
func (w *World) publish(rev uint64) {
	w.Config.begin(w.Clock.Since())
	for _, i := range w.instances {
		if w.rnd.Float64() < lostWatch && i != w.instances[0] {
			continue
		}
		w.Clock.After(watchDelay, func() {
			if cfg := w.fetch(rev); cfg != nil && !i.dead {
				i.apply(cfg)
			}
		})
	}
}

// fetch reads the head and its document from the store.
func (w *World) fetch(rev uint64) *revision.Config {
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

// apply puts a configuration in force at the instance if it is newer.
func (i *instance) apply(cfg *revision.Config) {
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
		w.Config.note(w.Clock.Since(), i.id, true)
		w.Config.settle(w.instances)
	}
}

// Mark sets the rollback mark at one instance.
func (w *World) Mark() {
	w.Marks.begin(w.Clock.Since())
	i := w.anyone()
	i.marks.Add(mark)
	w.Marks.note(w.Clock.Since(), i.id, true)
}
