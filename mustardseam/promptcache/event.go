package promptcache

// Event reports how many tokens of a part an engine keeps now.
type Event struct {
	Number int64
	Part   uint64
	Tokens int // 0 if the part was evicted.
}

// Events are what an engine reports at a time. They may be late, repeated or incomplete.
type Events struct {
	Epoch int64 // Changes when the engine restarts.
	Next  int64 // Number of the next event.
	List  []Event
}

// Observe applies the events of an engine. After a restart, what was known of the engine is forgotten. Parts whose events are
// missing stay recorded until they are evicted in turn.
func (x *Index) Observe(e *Engine, events Events) {
	x.enterEpoch(e, events.Epoch)
	for _, event := range events.List {
		if event.Number >= e.next {
			x.set(e, event.Part, min(event.Tokens, maxTokens))
		}
	}
	e.next = max(e.next, events.Next)
	x.evict(e)
}

// Replace sets the parts that an engine keeps to a complete list, with those used most recently last.
func (x *Index) Replace(e *Engine, epoch, next int64, kept Prompt) {
	x.enterEpoch(e, epoch)
	x.Clear(e)
	for _, part := range kept {
		x.set(e, part.ID, min(part.Tokens, maxTokens))
	}
	e.next = next
	x.evict(e)
}

// enterEpoch forgets what is known of an engine that has restarted since its latest events.
func (x *Index) enterEpoch(e *Engine, epoch int64) {
	if e.epoch == epoch {
		return
	}
	if e.epoch != 0 {
		x.Clear(e)
	}
	e.epoch, e.next = epoch, 0
}
