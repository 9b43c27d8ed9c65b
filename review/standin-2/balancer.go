package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

// balancer selects the instance of a new connection as the platform does for a zone: once a second it asks each instance
// whether it is ready; two misses take it out of rotation, and if fewer than half are in rotation, all are used.
type balancer struct {
	instances []*instance
	ended     chan struct{}

	mu     sync.Mutex
	misses map[*instance]int
}

func newBalancer(instances []*instance) *balancer {
	b := &balancer{instances: instances, ended: make(chan struct{}), misses: map[*instance]int{}}
	for _, i := range instances {
		go func() {
			for {
				ready := i.ready()
				b.mu.Lock()
				if b.misses[i]++; ready {
					b.misses[i] = 0
				}
				b.mu.Unlock()
				select {
				case <-time.After(time.Second):
				case <-b.ended:
					return
				}
			}
		}()
	}
	return b
}

func (b *balancer) stop() { close(b.ended) }

// pick returns the instance for a new connection.
func (b *balancer) pick() *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*instance
	for _, i := range b.instances {
		if b.misses[i] < 2 {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(b.instances) {
		in = b.instances
	}
	return in[rand.IntN(len(in))]
}
