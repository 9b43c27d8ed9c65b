package entry

import (
	"sync"
	"time"
)

// pendingRequests is the set of requests without a final answer; its methods are safe for concurrent use.
type pendingRequests struct {
	mu       sync.Mutex
	requests map[*pendingRequest]struct{} // Guarded by mu.
}

func newPendingRequests() *pendingRequests {
	return &pendingRequests{requests: map[*pendingRequest]struct{}{}}
}

func (p *pendingRequests) add(r *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[r] = struct{}{}
}

func (p *pendingRequests) remove(r *pendingRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, r)
}

// all returns the requests.
func (p *pendingRequests) all() []*pendingRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*pendingRequest, 0, len(p.requests))
	for r := range p.requests {
		all = append(all, r)
	}
	return all
}

// longestRun returns the longest time for which a request of a route has been at a backend server; 0 if none is.
func (p *pendingRequests) longestRun(now time.Time, route string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	for r := range p.requests {
		if r.route == route {
			longest = max(longest, r.runTime(now))
		}
	}
	return longest
}
