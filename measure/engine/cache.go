package engine

import "container/list"

// cache is a set of prompt blocks that evicts the least recently used one.
type cache struct {
	limit  int
	order  list.List
	blocks map[uint64]*list.Element
}

// hits returns how many leading blocks are held.
func (c *cache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// put holds the blocks and returns those that are new and those that were evicted.
func (c *cache) put(blocks []uint64) (stored, evicted []uint64) {
	for _, b := range blocks {
		if e := c.blocks[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.limit {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, b)
		evicted = append(evicted, b)
	}
	return stored, evicted
}

// clear drops all blocks and returns them, the least recently used first.
func (c *cache) clear() []uint64 {
	keep := c.limit
	c.limit = 0
	_, evicted := c.put(nil)
	c.limit = keep
	return evicted
}
