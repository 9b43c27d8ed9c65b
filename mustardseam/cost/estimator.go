package cost

import "math/bits"

const (
	// maxKeys bounds the memory. It has room for 510 teams on a few routes with a few classes of output limits.
	maxKeys = 8192
	// defaultDecode is the output length in tokens assumed before any length has been observed.
	defaultDecode = 256
	// routeWeight is the weight of the route's mean, in observations of the team.
	routeWeight = 8
	// meanWindow is the number of observations after which the mean becomes a moving average with a fixed weight.
	meanWindow = 64
)

// Estimator learns output lengths by route, team and class of the caller's limit. The zero value is ready to use.
type Estimator struct {
	means          map[key]*mean
	insertionOrder []key // Keys in order of insertion, as a ring buffer once maxKeys is reached.
	nextEvicted    int   // Index in insertionOrder of the key to replace next.
}

// key groups requests of similar output length. An empty team stands for all teams of the route.
type key struct {
	route string
	team  string
	class int // Bit length of the caller's limit; 0 without a limit.
}

// mean is a running mean in which old observations lose weight.
type mean struct {
	count float64 // Number of observations, at most meanWindow.
	value float64 // Current mean in tokens.
}

// Estimate returns the expected tokens of a request. A limit of 0 means that the caller sets none.
func (e *Estimator) Estimate(route, team string, prompt, limit int) Tokens {
	decode := e.expectedDecode(route, team, bits.Len(uint(max(0, limit))))
	if limit > 0 {
		decode = min(decode, float64(limit))
	}
	return Tokens{Prefill: max(0, prompt), Decode: int(decode + 0.5)}
}

// expectedDecode returns the mean of the team's and the route's output lengths, weighted by the number of observations
// of the team.
func (e *Estimator) expectedDecode(route, team string, class int) float64 {
	base := float64(defaultDecode)
	if m := e.means[key{route: route, class: class}]; m != nil {
		base = m.value
	}
	m := e.means[key{route, team, class}]
	if m == nil {
		return base
	}
	return (m.value*m.count + base*routeWeight) / (m.count + routeWeight)
}

// Observe records the output length, in tokens, of a request that was answered in full.
func (e *Estimator) Observe(route, team string, limit, output int) {
	class := bits.Len(uint(max(0, limit)))
	e.meanFor(key{route: route, class: class}).add(float64(output))
	e.meanFor(key{route, team, class}).add(float64(output))
}

// meanFor returns the mean of the key, creating it if needed. Once maxKeys is reached, a new key replaces the oldest.
func (e *Estimator) meanFor(k key) *mean {
	if m := e.means[k]; m != nil {
		return m
	}
	if e.means == nil {
		e.means = map[key]*mean{}
	}
	if len(e.insertionOrder) < maxKeys {
		e.insertionOrder = append(e.insertionOrder, k)
	} else {
		delete(e.means, e.insertionOrder[e.nextEvicted])
		e.insertionOrder[e.nextEvicted] = k
		e.nextEvicted = (e.nextEvicted + 1) % maxKeys
	}
	m := &mean{}
	e.means[k] = m
	return m
}

// add includes an observation in the mean.
func (m *mean) add(v float64) {
	m.count = min(m.count+1, meanWindow)
	m.value += (v - m.value) / m.count
}
