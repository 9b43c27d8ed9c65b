package retry

const (
	// retryRatio is the number of retries that one first attempt adds to the budget. It keeps the attempts per request
	// below 1.1.
	retryRatio = 0.09
	// maxBalance limits the retries saved while there are few failures, so that a fault does not start a burst of
	// retries.
	maxBalance = 100
	// maxKeys bounds the memory.
	maxKeys = 8192
)

// Budget limits retries to a share of the first attempts, for each route and each team. The zero value is ready to use.
type Budget struct {
	balances       map[key]float64 // Retries available.
	insertionOrder []key           // Keys in order of insertion, as a ring buffer once maxKeys is reached.
	nextEvicted    int             // Index in insertionOrder of the key to replace next.
}

// key identifies the balance of a route or of a team.
type key struct {
	team bool // Whether name is that of a team.
	name string
}

// First records a first attempt, which adds a fraction of a retry to the budget.
func (b *Budget) First(route, team string) {
	b.add(key{name: route}, retryRatio)
	b.add(key{team: true, name: team}, retryRatio)
}

// Allow reports whether a retry is allowed, and if so deducts it from the budget.
func (b *Budget) Allow(route, team string) bool {
	r, t := key{name: route}, key{team: true, name: team}
	if b.balances[r] < 1 || b.balances[t] < 1 {
		return false
	}
	b.balances[r]--
	b.balances[t]--
	return true
}

// add increases the balance of the key by v, up to maxBalance.
func (b *Budget) add(k key, v float64) {
	old, known := b.balances[k]
	if !known {
		b.insert(k)
	}
	b.balances[k] = min(old+v, maxBalance)
}

// insert registers a new key. Once maxKeys is reached, it replaces the oldest.
func (b *Budget) insert(k key) {
	if b.balances == nil {
		b.balances = map[key]float64{}
	}
	if len(b.insertionOrder) < maxKeys {
		b.insertionOrder = append(b.insertionOrder, k)
		return
	}
	delete(b.balances, b.insertionOrder[b.nextEvicted])
	b.insertionOrder[b.nextEvicted] = k
	b.nextEvicted = (b.nextEvicted + 1) % maxKeys
}
