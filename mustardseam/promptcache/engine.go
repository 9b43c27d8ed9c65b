package promptcache

// Engine is the record of one run of an engine. Its fields are maintained by the Index that it was added to.
type Engine struct {
	number   int32 // Index into Index.engines and Index.matches.
	capacity int   // Tokens that its memory holds.
	running  int   // Tokens that running requests hold beyond the parts that are recorded as kept.
	held     int   // Tokens that running requests hold beyond those that were kept before they began.
	kept     int   // Tokens of the kept parts.
	count    int   // Number of kept parts.
	oldest   int32 // Entry of the least recently used part; 0 for none.
	newest   int32
	epoch    int64 // Epoch of the latest events; 0 before the first.
	next     int64 // Number of the next event.
}

// Free returns the tokens of memory that running requests do not hold. Parts that were kept before these began count as free,
// since they are evicted when a request needs the memory.
func (e *Engine) Free() int { return max(0, e.capacity-e.held) }

// Held returns the tokens of memory that running requests hold.
func (e *Engine) Held() int { return e.held }

// Capacity returns the tokens that the memory holds.
func (e *Engine) Capacity() int { return e.capacity }

// Kept returns the tokens of the kept parts.
func (e *Engine) Kept() int { return e.kept }
