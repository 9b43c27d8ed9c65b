package engine

import "container/list"

// cache is an LRU set of prompt blocks.
type cache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// hits returns the number of leading blocks that are in the cache.
func (c *cache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if c.blocks[b] == nil {
			return i
		}
	}
	return len(blocks)
}

// put stores the blocks and returns those evicted for them.
func (c *cache) put(blocks []uint64) (evicted []uint64) {
	for _, b := range blocks {
		if e := c.blocks[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		c.order.Remove(last)
		b := last.Value.(uint64)
		delete(c.blocks, b)
		evicted = append(evicted, b)
	}
	return evicted
}
