package engine

import "container/list"

// cache is an LRU cache of prompt blocks.
type cache struct {
	limit  int
	order  list.List
	blocks map[uint64]*list.Element
}

// leadingHits returns the number of leading blocks that are cached; counting stops at the first miss.
func (c *cache) leadingHits(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// put stores the blocks and returns those that were new and those that were evicted.
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

// clear evicts all blocks and returns them, the least recently used first.
func (c *cache) clear() []uint64 {
	limit := c.limit
	c.limit = 0
	_, evicted := c.put(nil)
	c.limit = limit
	return evicted
}
