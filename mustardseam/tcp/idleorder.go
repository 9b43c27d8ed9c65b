package tcp

import (
	"container/list"
	"sync"
)

// idleOrder orders the open connections of a Listener by the time of their latest read. Its methods are safe for concurrent use, and
// those of a nil idleOrder do nothing.
type idleOrder struct {
	mu       sync.Mutex
	conns    *list.List                      // Of *acceptedConn; the front is the one that has been idle for the longest time. Guarded by mu.
	elements map[*acceptedConn]*list.Element // Guarded by mu.
}

func newIdleOrder() *idleOrder {
	return &idleOrder{conns: list.New(), elements: map[*acceptedConn]*list.Element{}}
}

// add adds a connection that has just been accepted.
func (o *idleOrder) add(c *acceptedConn) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.elements[c] = o.conns.PushBack(c)
}

// touch records that something was read from a connection.
func (o *idleOrder) touch(c *acceptedConn) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.elements[c]; e != nil {
		o.conns.MoveToBack(e)
	}
}

// remove removes a connection that is being closed.
func (o *idleOrder) remove(c *acceptedConn) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.elements[c]; e != nil {
		o.conns.Remove(e)
		delete(o.elements, c)
	}
}

// longestIdle returns the connection that has been idle for the longest time, or nil if there is none.
func (o *idleOrder) longestIdle() *acceptedConn {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if e := o.conns.Front(); e != nil {
		return e.Value.(*acceptedConn)
	}
	return nil
}
