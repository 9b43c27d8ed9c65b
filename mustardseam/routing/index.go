package routing

import "slices"

const (
	// maxBlocks bounds the memory of the prefix index to a few megabytes.
	maxBlocks = 1 << 15
	// holders is the number of servers that are remembered per block, the latest ones.
	holders = 4
)

// index knows which servers probably hold which blocks of prompts; the blocks used longest ago are forgotten.
type index struct {
	at     map[uint64]int32 // Place in blocks.
	blocks []block
	first  int32 // Used last.
	last   int32 // Used longest ago.
}

// block is one block of a prompt; its hash covers all blocks before it too.
type block struct {
	hash   uint64
	nodes  [holders]uint32 // Ids; 0 is none.
	before int32
	after  int32
}

func newIndex() *index {
	return &index{at: map[uint64]int32{}, first: -1, last: -1}
}

// positions calls f for the places of a prefix of n blocks that are indexed, from the longest prefix to the shortest,
// until f returns false. Long prefixes are indexed more coarsely, which bounds the time of a decision; the places do
// not depend on n, so that prompts of different lengths meet.
func positions(n int, f func(i int) bool) {
	for i := n; i > 0; {
		step := 1
		switch {
		case i > 512:
			step = 256
		case i > 64:
			step = 32
		case i > 8:
			step = 8
		}
		i -= i % step
		if !f(i - 1) {
			return
		}
		i--
	}
}

// put remembers that the server holds the block.
func (x *index) put(hash uint64, id uint32) {
	i, ok := x.at[hash]
	if !ok {
		i = x.insert(hash)
	}
	b := &x.blocks[i]
	if p := slices.Index(b.nodes[:], id); p >= 0 {
		copy(b.nodes[1:p+1], b.nodes[:p])
	} else {
		copy(b.nodes[1:], b.nodes[:])
	}
	b.nodes[0] = id
	x.touch(i)
}

// drop forgets that the server holds the block.
func (x *index) drop(hash uint64, id uint32) {
	i, ok := x.at[hash]
	if !ok {
		return
	}
	b := &x.blocks[i]
	p := slices.Index(b.nodes[:], id)
	if p < 0 {
		return
	}
	copy(b.nodes[p:], b.nodes[p+1:])
	b.nodes[holders-1] = 0
}

// get returns the ids of the servers that hold the block.
func (x *index) get(hash uint64) ([holders]uint32, bool) {
	i, ok := x.at[hash]
	if !ok {
		return [holders]uint32{}, false
	}
	return x.blocks[i].nodes, true
}

func (x *index) insert(hash uint64) int32 {
	var i int32
	if len(x.blocks) < maxBlocks {
		i = int32(len(x.blocks))
		x.blocks = append(x.blocks, block{})
	} else {
		i = x.last
		x.unlink(i)
		delete(x.at, x.blocks[i].hash)
	}
	x.blocks[i] = block{hash: hash, before: -1, after: -1}
	x.at[hash] = i
	x.link(i)
	return i
}

func (x *index) touch(i int32) {
	if x.first != i {
		x.unlink(i)
		x.link(i)
	}
}

// link puts the block in front of the others.
func (x *index) link(i int32) {
	b := &x.blocks[i]
	b.before, b.after = -1, x.first
	if x.first >= 0 {
		x.blocks[x.first].before = i
	} else {
		x.last = i
	}
	x.first = i
}

func (x *index) unlink(i int32) {
	b := &x.blocks[i]
	if b.before >= 0 {
		x.blocks[b.before].after = b.after
	} else {
		x.first = b.after
	}
	if b.after >= 0 {
		x.blocks[b.after].before = b.before
	} else {
		x.last = b.before
	}
}
