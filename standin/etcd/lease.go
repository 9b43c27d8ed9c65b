package etcd

import "time"

// lease ends unless it is renewed.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// ExpireLeases ends every lease at once, as a long pause of its holder does.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.ends = time.Time{}
		s.leases[id] = l
	}
	s.expire()
}

// expire drops the keys of leases that have ended; it must be called with mu held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if l.ends.After(now) {
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

// grant must be called with mu held.
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

// keepAlive must be called with mu held; it answers with a TTL of 0 when the lease has ended.
func (s *Store) keepAlive(r leaseRequest) (any, error) {
	type response struct {
		Result leaseResponse `json:"result"`
	}
	l, ok := s.leases[r.ID]
	if !ok {
		return response{leaseResponse{ID: r.ID}}, nil
	}
	l.ends = time.Now().Add(l.ttl)
	s.leases[r.ID] = l
	return response{leaseResponse{ID: r.ID, TTL: number(l.ttl / time.Second)}}, nil
}

// revoke must be called with mu held.
func (s *Store) revoke(r leaseRequest) (any, error) {
	l, ok := s.leases[r.ID]
	if !ok {
		return nil, errNoLease
	}
	l.ends = time.Time{}
	s.leases[r.ID] = l
	s.expire()
	return leaseResponse{ID: r.ID}, nil
}
