package etcd

import "time"

// lease holds the time to live of a lease and the time at which it expires unless renewed.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// ExpireLeases expires all leases immediately, as if their holders had paused for longer than the TTL.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.expires = time.Time{}
		s.leases[id] = l
	}
	s.expire()
}

// expire deletes expired leases and their keys; it must be called with mu held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if l.expires.After(now) {
			continue
		}
		delete(s.leases, id)
		for key, kv := range s.keys {
			if kv.Lease == id {
				s.remove(key)
			}
		}
	}
}

// grant creates a lease; it must be called with mu held.
func (s *Store) grant(r leaseRequest) (any, error) {
	if r.TTL <= 0 {
		return nil, errTTL
	}
	id := r.ID
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	ttl := time.Duration(r.TTL) * time.Second
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	return leaseResponse{ID: id, TTL: r.TTL}, nil
}

// keepAlive renews a lease, or responds with a TTL of 0 when the lease does not exist; it must be called with mu held.
func (s *Store) keepAlive(r leaseRequest) (any, error) {
	type response struct {
		Result leaseResponse `json:"result"`
	}
	l, ok := s.leases[r.ID]
	if !ok {
		return response{leaseResponse{ID: r.ID}}, nil
	}
	l.expires = time.Now().Add(l.ttl)
	s.leases[r.ID] = l
	return response{leaseResponse{ID: r.ID, TTL: jsonInt64(l.ttl / time.Second)}}, nil
}

// revoke ends a lease and deletes its keys; it must be called with mu held.
func (s *Store) revoke(r leaseRequest) (any, error) {
	l, ok := s.leases[r.ID]
	if !ok {
		return nil, errNoLease
	}
	l.expires = time.Time{}
	s.leases[r.ID] = l
	s.expire()
	return leaseResponse{ID: r.ID}, nil
}
