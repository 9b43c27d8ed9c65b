package placement

import (
	"math"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// minOvercommit is the lowest number of requests per free slot that all instances together may send to a backend server
	// between two reports. What was sent during one report interval may also be missing from the next report.
	minOvercommit = 0.5
	// baseOvercommit is the number of requests per free slot when as many requests are expected as there are free slots.
	// It grows with a power of the free slots per expected request, since choosing among few backend servers costs more
	// than an occasional short queue.
	baseOvercommit     = 4.0
	overcommitExponent = 3
	// plainQueueDepth is how many requests beyond its slots a backend server of a plain service may have, since these
	// requests are short.
	plainQueueDepth = 4
	// maxQueueSlowdown is the slowdown up to which an engine may have requests beyond its slots. At a slower one, a request waits
	// several times as long for a slot as for the next free slot of another engine.
	maxQueueSlowdown = 1.5
)

// overcommitFactor returns how many requests per free slot of a candidate list all instances together may send between
// two reports. If they are expected to send fewer requests than there are free slots, each instance can choose more
// freely.
func (b *Board) overcommitFactor(c Candidates, fallback, waiting bool) float64 {
	if waiting {
		return minOvercommit
	}
	key, servers := candidateList{service: c.Service.Name, fallback: fallback}, c.Servers
	if fallback {
		servers = c.Fallback
	}
	if factor, ok := b.overcommitFactors[key]; ok {
		return factor
	}
	free := 0
	for _, s := range servers {
		free += max(0, max(1, s.Slots)-b.state(s).load().Requests)
	}
	freePerRequest := float64(free) / max(1, b.unseenPerServer*float64(len(servers)))
	factor := max(minOvercommit, baseOvercommit*math.Pow(freePerRequest, overcommitExponent))
	b.overcommitFactors[key] = factor
	return factor
}

// hasRoom reports whether a backend server may get one more request. The instances share the free slots of an engine:
// each may use the slots that its own requests released and its share of the others. Otherwise all would send to an
// engine with a newly freed slot before they learn of each other's requests.
func (b *Board) hasRoom(st *serverState, svc *fleet.Service, s *fleet.Server, opts selectionOptions) bool {
	if st.connectFailed && !opts.lastResort && st.load().Requests > 0 {
		return false // A single request probes whether the backend server is back.
	}
	limit := max(1, s.Slots) + opts.queueDepth
	if !svc.Engine {
		return st.load().Requests < limit+plainQueueDepth
	}
	if opts.queueDepth > 0 && b.slowdown(st, b.model(svc.Name)) > maxQueueSlowdown {
		limit -= opts.queueDepth
	}
	free := limit - st.load().Requests
	if free <= 0 {
		return false
	}
	ownShare := opts.overcommit * float64(max(0, free+st.sentSinceReport-st.endedSinceReport)) *
		float64(b.servedInstances) / float64(max(1, b.instances))
	return b.instances <= b.servedInstances ||
		float64(st.sentSinceReport)+st.shareDither < float64(st.endedSinceReport)+ownShare
}
