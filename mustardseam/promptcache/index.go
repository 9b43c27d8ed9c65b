package promptcache

// defaultMaxEntries bounds the parts that are recorded for all engines together, and with them the memory of an index to about
// 10 MB. It leaves 27 parts for each of 2,400 engines, and 468 for each of 140.
const defaultMaxEntries = 1 << 16

// Config configures an Index.
type Config struct {
	MaxEntries int // Maximum number of parts that are recorded, over all engines; 0 selects the default.
}

// Index records which parts of prompts the engines keep.
type Index struct {
	maxEntries  int
	entries     []entry // Position 0 is not used.
	firstFree   int32   // First entry of the list of free ones; 0 for none.
	count       int     // Number of entries in use.
	byHolding   map[holding]int32
	firstHolder map[uint64]int32 // Entry of the latest engine that keeps a part.
	engines     []*Engine        // By number; nil for an unused number.
	freeNumbers []int32
	matches     []matchState // By number of the engine.
	match       Match
	hand        int // Number of the engine that last gave up a part for another one.
}

// New returns an index without engines.
func New(cfg Config) *Index {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = defaultMaxEntries
	}
	return &Index{
		maxEntries: cfg.MaxEntries, entries: make([]entry, 1), byHolding: map[holding]int32{}, firstHolder: map[uint64]int32{},
	}
}

// Len returns the number of recorded parts over all engines.
func (x *Index) Len() int { return x.count }

// Add adds a run of an engine whose memory holds the given number of tokens. A run that replaces another one must be added
// anew, since it starts with an empty memory.
func (x *Index) Add(capacity int) *Engine {
	e := &Engine{capacity: max(0, capacity)}
	if n := len(x.freeNumbers); n > 0 {
		e.number = x.freeNumbers[n-1]
		x.freeNumbers = x.freeNumbers[:n-1]
		x.engines[e.number] = e
		return e
	}
	e.number = int32(len(x.engines))
	x.engines = append(x.engines, e)
	x.matches = append(x.matches, matchState{})
	return e
}

// Remove removes an engine; it must not be used any more.
func (x *Index) Remove(e *Engine) {
	x.Clear(e)
	x.engines[e.number] = nil
	x.matches[e.number] = matchState{}
	x.freeNumbers = append(x.freeNumbers, e.number)
}

// SetCapacity changes the tokens that the memory of an engine holds.
func (x *Index) SetCapacity(e *Engine, capacity int) {
	e.capacity = max(0, capacity)
	x.evict(e)
}

// Clear forgets the parts that an engine keeps.
func (x *Index) Clear(e *Engine) {
	for e.oldest != 0 {
		x.drop(e.oldest)
	}
}

// Begin records that a request is sent to an engine and will hold a number of tokens there. The kept parts at the beginning
// of its prompt become the most recently used ones.
func (x *Index) Begin(e *Engine, p Prompt, tokens int) {
	e.running += tokens
	e.held += tokens
	for _, part := range p {
		i := x.byHolding[holding{part.ID, e.number}]
		if i == 0 {
			break
		}
		x.touch(e, i)
	}
	x.evict(e)
}

// Read records that an engine has read a prompt. Its parts are kept from now on, and the given number of tokens that
// Begin counted for the request is released.
func (x *Index) Read(e *Engine, p Prompt, tokens int) {
	e.running = max(0, e.running-tokens)
	for _, part := range p {
		x.set(e, part.ID, part.Tokens)
	}
	x.evict(e)
}

// End records the end of a request for which Begin counted a number of tokens, of which Read released some.
func (x *Index) End(e *Engine, tokens, released int) {
	e.running = max(0, e.running-tokens+released)
	e.held = max(0, e.held-tokens)
}

// set records that an engine keeps a number of tokens of a part, which becomes its most recently used one.
func (x *Index) set(e *Engine, part uint64, tokens int) {
	i := x.byHolding[holding{part, e.number}]
	switch {
	case tokens <= 0:
		if i != 0 {
			x.drop(i)
		}
		return
	case tokens > e.capacity:
		return
	case i == 0:
		i = x.insert(e, part)
	}
	e.kept += tokens - int(x.entries[i].tokens)
	x.entries[i].tokens = int32(tokens)
	x.touch(e, i)
}

// evict drops the least recently used parts of an engine that its memory does not hold beside the running requests.
func (x *Index) evict(e *Engine) {
	for e.oldest != 0 && e.kept > e.capacity-e.running {
		x.drop(e.oldest)
	}
}

// insert adds an entry without tokens for a part that an engine does not keep.
func (x *Index) insert(e *Engine, part uint64) int32 {
	if x.count >= x.maxEntries {
		x.makeRoom(e)
	}
	i := x.firstFree
	if i != 0 {
		x.firstFree = x.entries[i].older
	} else {
		i = int32(len(x.entries))
		x.entries = append(x.entries, entry{})
	}
	x.count++
	e.count++
	after := x.firstHolder[part]
	x.entries[i] = entry{part: part, engine: e.number, older: e.newest, after: after}
	if after != 0 {
		x.entries[after].before = i
	}
	x.firstHolder[part] = i
	x.byHolding[holding{part, e.number}] = i
	if e.newest != 0 {
		x.entries[e.newest].newer = i
	}
	e.newest = i
	if e.oldest == 0 {
		e.oldest = i
	}
	return i
}

// makeRoom drops the least recently used part of an engine that has its equal share of the entries or more: of e itself, or
// else of the next one in turn.
func (x *Index) makeRoom(e *Engine) {
	share := max(1, x.maxEntries/(len(x.engines)-len(x.freeNumbers)))
	if e.count >= share {
		x.drop(e.oldest)
		return
	}
	for range x.engines {
		x.hand = (x.hand + 1) % len(x.engines)
		if other := x.engines[x.hand]; other != nil && other.count >= share {
			x.drop(other.oldest)
			return
		}
	}
}

// touch makes an entry the most recently used one of its engine.
func (x *Index) touch(e *Engine, i int32) {
	if e.newest == i {
		return
	}
	x.unlink(e, i)
	n := &x.entries[i]
	n.older, n.newer = e.newest, 0
	if e.newest != 0 {
		x.entries[e.newest].newer = i
	}
	e.newest = i
	if e.oldest == 0 {
		e.oldest = i
	}
}

// unlink takes an entry out of the order of use of its engine.
func (x *Index) unlink(e *Engine, i int32) {
	n := x.entries[i]
	if n.older != 0 {
		x.entries[n.older].newer = n.newer
	} else {
		e.oldest = n.newer
	}
	if n.newer != 0 {
		x.entries[n.newer].older = n.older
	} else {
		e.newest = n.older
	}
}

// drop removes an entry.
func (x *Index) drop(i int32) {
	n := x.entries[i]
	e := x.engines[n.engine]
	x.unlink(e, i)
	e.kept -= int(n.tokens)
	if n.after != 0 {
		x.entries[n.after].before = n.before
	}
	switch {
	case n.before != 0:
		x.entries[n.before].after = n.after
	case n.after != 0:
		x.firstHolder[n.part] = n.after
	default:
		delete(x.firstHolder, n.part)
	}
	delete(x.byHolding, holding{n.part, n.engine})
	x.entries[i] = entry{older: x.firstFree}
	x.firstFree = i
	x.count--
	e.count--
}
