package retry

const (
	// ratio is the number of retries that one first attempt pays for; it keeps attempts per request below 1.1.
	ratio = 0.09
	// maxBalance bounds the retries saved in quiet times, so that a fault does not start a burst of retries.
	maxBalance = 100
	// maxKeys bounds the memory.
	maxKeys = 8192
)

// Budget allows retries in proportion to first attempts, per route and per team; its zero value is ready to use.
type Budget struct {
	balance map[key]float64
	ring    []key // Keys in order of their first use.
	next    int   // Place in ring that is replaced next.
}

// key names the bucket of a route or of a team.
type key struct {
	team bool
	name string
}

// First takes in a first attempt, which pays for a part of a retry.
func (b *Budget) First(route, team string) {
	b.add(key{name: route}, ratio)
	b.add(key{team: true, name: team}, ratio)
}

// Allow reports whether a retry may be made, and takes it from the budget if so.
func (b *Budget) Allow(route, team string) bool {
	r, t := key{name: route}, key{team: true, name: team}
	if b.balance[r] < 1 || b.balance[t] < 1 {
		return false
	}
	b.balance[r]--
	b.balance[t]--
	return true
}

func (b *Budget) add(k key, v float64) {
	old, known := b.balance[k]
	if !known {
		b.remember(k)
	}
	b.balance[k] = min(old+v, maxBalance)
}

// remember makes room for a new key, in place of the oldest one when the memory is full.
func (b *Budget) remember(k key) {
	if b.balance == nil {
		b.balance = map[key]float64{}
	}
	if len(b.ring) < maxKeys {
		b.ring = append(b.ring, k)
		return
	}
	delete(b.balance, b.ring[b.next])
	b.ring[b.next] = k
	b.next = (b.next + 1) % maxKeys
}
