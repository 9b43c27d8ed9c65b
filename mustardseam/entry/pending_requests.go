package entry

import "sync"

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
