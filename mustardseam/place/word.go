package place

import (
	"math"
	"time"
)

const (
	// turn is the golden ratio; steps of it spread evenly over [0, 1).
	turn = 0.6180339887
	// heardSick is how old the latest answer of a backend server must be for the word of other instances to count.
	heardSick = 250 * time.Millisecond
)

// SetNodes says how many instances there are, this one included, and for how many of them this one places.
func (b *Board) SetNodes(n, served int) { b.nodes, b.served = n, max(1, served) }

// SetUnheard says how many requests the others send to a backend server, on average, before this instance hears of them.
func (b *Board) SetUnheard(n float64) { b.unheard = n }

// SetOthers replaces what the other instances have sent; backend servers that are not named have nothing from them.
func (b *Board) SetOthers(others map[string]Load) {
	clear(b.parts)
	for id, a := range b.accounts {
		a.others, a.recent, a.freed = others[id.ID], 0, 0
		_, a.draw = math.Modf(a.draw + turn)
	}
}

// Own returns what this instance has sent, by id of the backend server.
func (b *Board) Own() map[string]Load {
	own := map[string]Load{}
	for id, a := range b.accounts {
		if a.own != (Load{}) {
			own[id.ID] = own[id.ID].Plus(a.own)
		}
	}
	return own
}

// Paces returns the pace of backend servers by id that was learned since the last call, in milliseconds from token to
// token.
func (b *Board) Paces() map[string]float64 {
	paces := map[string]float64{}
	for id, a := range b.accounts {
		if a.untold {
			paces[id.ID] = a.pace.value
			a.untold = false
		}
	}
	return paces
}

// Teach sets the pace of backend servers of which nothing is known from measurements of other instances.
func (b *Board) Teach(paces map[string]float64) {
	for id, a := range b.accounts {
		if ms, ok := paces[id.ID]; ok && a.pace.n == 0 && ms > 0 {
			a.pace.value, a.pace.n = ms, 1
		}
	}
}

// SickIDs returns the ids of backend servers that this instance failed to reach.
func (b *Board) SickIDs(now time.Time) []string {
	var ids []string
	for id, a := range b.accounts {
		if a.misses > 0 && now.Before(a.avoid) {
			ids = append(ids, id.ID)
		}
	}
	return ids
}

// HearSick takes in how many other instances failed to reach backend servers. One word is enough where this instance had
// no answer lately; an instance that gets answers itself goes by these, since the fault may lie with the others.
func (b *Board) HearSick(now time.Time, sick map[string]int, until time.Time) {
	for id, a := range b.accounts {
		if sick[id.ID] > 0 && now.Sub(a.answered) > heardSick {
			a.word = until
		}
	}
}
