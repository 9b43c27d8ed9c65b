package cost

import "math/bits"

const (
	// maxKeys bounds the memory: 510 teams on a few routes with a few classes of output limits fit.
	maxKeys = 8192
	// defaultDecode is assumed where no length has been observed yet.
	defaultDecode = 256
	// trust is the number of observations of a team that weigh as much as those of its whole route.
	trust = 8
	// window is the number of observations after which the mean forgets at a fixed rate.
	window = 64
)

// Estimator learns output lengths per route, team and class of the caller's limit; its zero value is ready to use.
type Estimator struct {
	means map[key]*mean
	ring  []key // Keys in order of their first observation.
	next  int   // Place in ring that is replaced next.
}

// key groups requests of similar length; an empty team stands for all teams of the route.
type key struct {
	route string
	team  string
	class int // Binary logarithm of the caller's limit, 0 without one.
}

// mean is a running mean with a bounded memory of old observations.
type mean struct {
	n     float64
	value float64
}

// Estimate returns the tokens that a request probably takes; a limit of 0 means that the caller sets none.
func (e *Estimator) Estimate(route, team string, prompt, limit int) Tokens {
	decode := e.decode(route, team, bits.Len(uint(max(0, limit))))
	if limit > 0 {
		decode = min(decode, float64(limit))
	}
	return Tokens{Prefill: max(0, prompt), Decode: int(decode + 0.5)}
}

// decode blends the mean of the team with the mean of the route by the number of observations.
func (e *Estimator) decode(route, team string, class int) float64 {
	base := float64(defaultDecode)
	if m := e.means[key{route: route, class: class}]; m != nil {
		base = m.value
	}
	m := e.means[key{route, team, class}]
	if m == nil {
		return base
	}
	return (m.value*m.n + base*trust) / (m.n + trust)
}

// Observe takes in the output length, in tokens, of a request that was answered in full.
func (e *Estimator) Observe(route, team string, limit, output int) {
	class := bits.Len(uint(max(0, limit)))
	e.at(key{route: route, class: class}).add(float64(output))
	e.at(key{route, team, class}).add(float64(output))
}

// at returns the mean of the key; a new key replaces the oldest one when the memory is full.
func (e *Estimator) at(k key) *mean {
	if m := e.means[k]; m != nil {
		return m
	}
	if e.means == nil {
		e.means = map[key]*mean{}
	}
	if len(e.ring) < maxKeys {
		e.ring = append(e.ring, k)
	} else {
		delete(e.means, e.ring[e.next])
		e.ring[e.next] = k
		e.next = (e.next + 1) % maxKeys
	}
	m := &mean{}
	e.means[k] = m
	return m
}

func (m *mean) add(v float64) {
	m.n = min(m.n+1, window)
	m.value += (v - m.value) / m.n
}
