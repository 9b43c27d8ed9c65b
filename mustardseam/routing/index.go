package routing

import (
	"math/bits"
	"slices"
)

const (
	// sets times ways bounds the memory of the prefix index to 2 MB.
	sets = 1 << 14
	ways = 4
	// holders is the number of servers that are remembered per block, the latest ones.
	holders = 4
)

// index knows which servers probably hold which blocks of prompts. It is a set-associative cache: a block has its
// place in one set, and replaces the block of the set that was used longest ago. That takes one or two cache lines a
// block, where a map with a list of uses takes several.
type index struct {
	sets [][ways]block
	uses uint32
}

// block is one block of a prompt; its hash covers all blocks before it too.
type block struct {
	hash  uint64
	nodes [holders]uint32 // Ids; 0 is none.
	used  uint32          // 0 when the place is free.
}

func newIndex() *index {
	return &index{sets: make([][ways]block, sets)}
}

// positions calls f for the places of a prefix of n blocks that are indexed, from the longest prefix to the shortest,
// until f returns false. Long prefixes are indexed more coarsely, which bounds the time of a decision; the places do
// not depend on n, so that prompts of different lengths meet.
func positions(n int, f func(i int) bool) {
	for i := n; i > 0; i-- {
		switch {
		case i > 512:
			i -= i % 256
		case i > 64:
			i -= i % 32
		case i > 8:
			i -= i % 8
		default:
			i = 1 << (bits.Len(uint(i)) - 1)
		}
		if !f(i - 1) {
			return
		}
	}
}

// find returns the block, or nil when it is not known.
func (x *index) find(hash uint64) *block {
	set := &x.sets[hash%sets]
	for i := range set {
		if set[i].hash == hash && set[i].used > 0 {
			return &set[i]
		}
	}
	return nil
}

// put remembers that the server holds the block.
func (x *index) put(hash uint64, id uint32) {
	b := x.find(hash)
	if b == nil {
		b = x.replace(hash)
	}
	x.uses = max(1, x.uses+1)
	b.used = x.uses
	p := slices.Index(b.nodes[:], id)
	if p < 0 {
		p = holders - 1
	}
	copy(b.nodes[1:p+1], b.nodes[:p])
	b.nodes[0] = id
}

// replace returns the place of a new block.
func (x *index) replace(hash uint64) *block {
	set := &x.sets[hash%sets]
	oldest := &set[0]
	for i := range set {
		if set[i].used < oldest.used {
			oldest = &set[i]
		}
	}
	*oldest = block{hash: hash}
	return oldest
}

// drop forgets that the server holds the block.
func (x *index) drop(hash uint64, id uint32) {
	b := x.find(hash)
	if b == nil {
		return
	}
	p := slices.Index(b.nodes[:], id)
	if p < 0 {
		return
	}
	copy(b.nodes[p:], b.nodes[p+1:])
	b.nodes[holders-1] = 0
}
