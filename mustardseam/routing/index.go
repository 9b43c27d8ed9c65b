package routing

import (
	"math/bits"
	"slices"
)

const (
	// indexSets is the number of sets of the prefix index. With indexWays blocks per set, it limits the index to 2 MB.
	indexSets = 1 << 14
	indexWays = 4
	// maxHolders is the number of servers stored for each block; the most recent ones are kept.
	maxHolders = 4
)

// prefixIndex records which servers probably hold which prompt blocks. It is a set-associative cache: a block belongs
// to one set and replaces the least recently used block of it. An operation touches one or two cache lines per block,
// whereas a map with an LRU list touches several.
type prefixIndex struct {
	sets    [][indexWays]block
	lastUse uint32 // Last value given to block.lastUse.
}

// block is an indexed prompt block. Its hash also covers all preceding blocks.
type block struct {
	hash    uint64
	nodeIDs [maxHolders]uint32 // Node IDs, the most recent first; 0 stands for none.
	lastUse uint32             // Value of the use counter at the last use; 0 if the slot is free.
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{sets: make([][indexWays]block, indexSets)}
}

// forEachIndexedPosition calls f for the indexed positions of a prefix of n blocks, from the longest prefix to the
// shortest, until f returns false. The positions are sparser in long prefixes, which bounds the time of a decision.
// They do not depend on n, except that they are below n, so that prompts of different lengths share positions.
func forEachIndexedPosition(n int, f func(i int) bool) {
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

// find returns the block with the hash, or nil.
func (x *prefixIndex) find(hash uint64) *block {
	set := &x.sets[hash%indexSets]
	for i := range set {
		if set[i].hash == hash && set[i].lastUse > 0 {
			return &set[i]
		}
	}
	return nil
}

// add records that the server holds the block.
func (x *prefixIndex) add(hash uint64, id uint32) {
	b := x.find(hash)
	if b == nil {
		b = x.replace(hash)
	}
	x.lastUse = max(1, x.lastUse+1)
	b.lastUse = x.lastUse
	p := slices.Index(b.nodeIDs[:], id)
	if p < 0 {
		p = maxHolders - 1
	}
	copy(b.nodeIDs[1:p+1], b.nodeIDs[:p])
	b.nodeIDs[0] = id
}

// replace assigns the least recently used slot of the set to a new block and returns it.
func (x *prefixIndex) replace(hash uint64) *block {
	set := &x.sets[hash%indexSets]
	oldest := &set[0]
	for i := range set {
		if set[i].lastUse < oldest.lastUse {
			oldest = &set[i]
		}
	}
	*oldest = block{hash: hash}
	return oldest
}

// remove records that the server no longer holds the block.
func (x *prefixIndex) remove(hash uint64, id uint32) {
	b := x.find(hash)
	if b == nil {
		return
	}
	p := slices.Index(b.nodeIDs[:], id)
	if p < 0 {
		return
	}
	copy(b.nodeIDs[p:], b.nodeIDs[p+1:])
	b.nodeIDs[maxHolders-1] = 0
}
