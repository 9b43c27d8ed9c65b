package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// localSamples is the number of random servers of the same data centre that are compared. Two would be enough to
	// prevent herding; more are used to find fast servers that are rare.
	localSamples = 6
	// remoteSamples is the number of random servers that are compared in each other data centre.
	remoteSamples = 2
	// remotePenalty is the cost of another data centre in seconds. It amounts to several round trips, so that prompts
	// are sent there only for a clear gain.
	remotePenalty = 0.005
	// fullLoadPenalty is the cost in seconds, beyond the first token, of a full batch compared with an empty one.
	fullLoadPenalty = 0.05
)

// Request holds the properties of a request that the picker uses.
type Request struct {
	Version      string
	DataCentre   string
	PromptTokens int      // Prompt length in tokens.
	Prefix       []uint64 // Chained hashes of the prompt's blocks.
	Avoid        []string // Names of servers that are picked only if no other has room.
}

// Picker picks backend servers. It is not safe for concurrent use.
type Picker struct {
	random        *rand.Rand
	versionGroups map[string]*versionGroup // By version.
	nodes         map[uint32]*Node         // Nodes by ID.
	lastID        uint32                   // Last ID given to a node.
	index         *prefixIndex
	holders       []prefixHolder // Servers with room that hold a part of the prefix of the current pick.
}

// prefixHolder is a server that probably has the first blocks of a prompt cached.
type prefixHolder struct {
	node   *Node
	blocks int
}

// New returns a picker without servers. The seed determines its random choices.
func New(seed uint64) *Picker {
	return &Picker{
		random:        rand.New(rand.NewPCG(seed, 0)),
		versionGroups: map[string]*versionGroup{},
		nodes:         map[uint32]*Node{},
		index:         newPrefixIndex(),
	}
}

// Add adds the server. Its Version and DataCentre must not change until Remove.
func (p *Picker) Add(n *Node) {
	f := p.versionGroups[n.Version]
	if f == nil {
		f = &versionGroup{}
		p.versionGroups[n.Version] = f
	}
	f.nodes++
	n.zone = f.zone(n.DataCentre)
	n.availableIndex = -1
	n.hitRatio = 1
	p.ForgetCache(n)
	p.Update(n)
}

// Remove removes the server.
func (p *Picker) Remove(n *Node) {
	if n.availableIndex >= 0 {
		n.zone.remove(n)
	}
	f := n.zone.group
	f.nodes--
	if f.nodes == 0 {
		delete(p.versionGroups, n.Version)
	}
	delete(p.nodes, n.id)
}

// Update must be called after a change of the server's Room.
func (p *Picker) Update(n *Node) {
	switch {
	case n.Room > 0 && n.availableIndex < 0:
		n.zone.add(n)
	case n.Room <= 0 && n.availableIndex >= 0:
		n.zone.remove(n)
	}
}

// ForgetCache discards what is known of the server's cache, for example after a restart.
func (p *Picker) ForgetCache(n *Node) {
	delete(p.nodes, n.id)
	p.lastID++
	n.id = p.lastID
	p.nodes[n.id] = n
}

// AvailableServers returns the number of servers of the version that have room.
func (p *Picker) AvailableServers(version string) int {
	if f := p.versionGroups[version]; f != nil {
		return f.available
	}
	return 0
}

// Pick returns the server with room that has the shortest expected time to first token, and the prompt tokens that it
// probably has cached. It returns nil if no server of the version has room.
func (p *Picker) Pick(now time.Time, r Request) (best *Node, cached int) {
	f := p.versionGroups[r.Version]
	if f == nil || f.available == 0 {
		return nil, 0
	}
	c := choice{now: now, r: r, bestAvoided: true}
	if n := len(r.Prefix); n > 0 {
		c.tokensPerBlock = float64(r.PromptTokens) / float64(n)
	}
	p.collectHolders(r)
	for _, h := range p.holders {
		c.consider(h.node, h.blocks)
	}
	for _, z := range f.zones {
		p.considerSample(z, &c)
	}
	if c.best == nil || c.bestAvoided && len(r.Avoid) > 0 {
		p.considerAll(f, &c)
	}
	return c.best, int(float64(c.cachedBlocks) * c.tokensPerBlock)
}

// collectHolders sets holders to the servers with room that hold the longest indexed parts of the prefix.
func (p *Picker) collectHolders(r Request) {
	p.holders = p.holders[:0]
	forEachIndexedPosition(len(r.Prefix), func(i int) bool {
		b := p.index.find(r.Prefix[i])
		if b == nil {
			return true
		}
		for _, id := range b.nodeIDs {
			n := p.nodes[id]
			if id == 0 || n == nil || n.availableIndex < 0 || n.Version != r.Version {
				continue
			}
			if !slices.ContainsFunc(p.holders, func(h prefixHolder) bool { return h.node == n }) {
				p.holders = append(p.holders, prefixHolder{n, i + 1})
			}
		}
		return len(p.holders) < maxHolders
	})
}

// considerSample considers random servers of the zone, or all of them if there are few.
func (p *Picker) considerSample(z *versionZone, c *choice) {
	samples := remoteSamples
	if z.dataCentre == c.r.DataCentre {
		samples = localSamples
	}
	n := len(z.available)
	if n <= samples {
		for _, node := range z.available {
			c.consider(node, p.cachedBlocks(node))
		}
		return
	}
	for range samples {
		node := z.available[p.random.IntN(n)]
		c.consider(node, p.cachedBlocks(node))
	}
}

// cachedBlocks returns how many blocks of the current prefix the server is known to hold.
func (p *Picker) cachedBlocks(n *Node) int {
	for _, h := range p.holders {
		if h.node == n {
			return h.blocks
		}
	}
	return 0
}

// considerAll considers all servers with room. It is needed only for a request with servers to avoid if no others were
// considered.
func (p *Picker) considerAll(f *versionGroup, c *choice) {
	for _, z := range f.zones {
		for _, node := range z.available {
			c.consider(node, p.cachedBlocks(node))
		}
	}
}

// RecordGrant records that a request was granted to the server.
func (p *Picker) RecordGrant(now time.Time, n *Node, prompt, cached int, prefix []uint64) {
	n.pendingTokens = n.PendingTokens(now) + float64(max(0, prompt-cached))
	n.pendingAt = now
	forEachIndexedPosition(len(prefix), func(i int) bool {
		p.index.add(prefix[i], n.id)
		return true
	})
}

// BlockStored records that the server has stored the block. Blocks that no request has referred to are ignored.
func (p *Picker) BlockStored(n *Node, hash uint64) {
	if p.index.find(hash) != nil {
		p.index.add(hash, n.id)
	}
}

// BlockEvicted records that the server has evicted the block.
func (p *Picker) BlockEvicted(n *Node, hash uint64) { p.index.remove(hash, n.id) }

// CacheObserved compares the predicted number of cached prompt tokens with the number that the server reported.
func (p *Picker) CacheObserved(n *Node, predicted, cached int, prefix []uint64) {
	if predicted <= 0 {
		return
	}
	n.hitRatio += 0.1 * (min(1, float64(cached)/float64(predicted)) - n.hitRatio)
	n.hitRatio = max(0.1, n.hitRatio)
	if cached > 0 || p.nodes[n.id] != n {
		return
	}
	forEachIndexedPosition(len(prefix), func(i int) bool {
		p.index.remove(prefix[i], n.id)
		return true
	})
}
