package http1

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

const (
	// dialTimeout bounds the wait for a connection: two round trips take at most 4 ms, and a lost opening packet is sent
	// again only after a second, when another backend server is the better choice.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout ends a connection whose peer acknowledges nothing, as when it lost power or is partitioned.
	ackTimeout = 1500 * time.Millisecond
	// idleDefault is how long an idle connection is used when the backend server states no time.
	idleDefault = 4 * time.Second
	// idleMargin is kept from the time that a backend server states, so that a request does not cross its close.
	idleMargin = 500 * time.Millisecond
	// staleDefault is the idle time after which connections are taken to be reset until one is found.
	staleDefault = 12 * time.Second
	// leastStale keeps connections in use that were idle for a moment.
	leastStale = 100 * time.Millisecond
	// resetTime is the time within which the reset of a stale connection comes back.
	resetTime = 50 * time.Millisecond
	// maxIdle bounds the idle connections to one backend server.
	maxIdle = 32
	// maxHeld bounds the bytes of answers in one piece that are held in memory at a time beyond freeHeld for each. Without
	// it a few backend servers whose answers have no end would take the memory of the instance.
	maxHeld = 32 << 20
	// freeHeld is what an answer may always hold; nearly all are shorter.
	freeHeld = 64 << 10
)

// Client sends requests to backend servers and keeps connections open for further ones; its methods are safe for
// concurrent use.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[fleet.Incarnation][]*clientConn // Latest used last; guarded by mu.
	stale  time.Duration                       // Least idle time after which a connection was found reset; guarded by mu.
	dials  int                                 // Guarded by mu.
	held   atomic.Int64                        // Bytes of answers beyond freeHeld for each.
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		stale: staleDefault,
		idle:  map[fleet.Incarnation][]*clientConn{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
			Control: func(_, _ string, c syscall.RawConn) error {
				var err error
				if outer := c.Control(func(fd uintptr) {
					err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout/time.Millisecond))
				}); outer != nil {
					return outer
				}
				return err
			},
		},
	}
}

// Do sends a request and reads the header of its answer. The error is ErrNotSent when no byte can have reached the
// backend server, ErrForeign when what came back is no answer to the request, and ErrBroken otherwise; after the last two
// the request may have run.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	cc, err := c.connection(ctx, call)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "connect to backend server %s: %v", call.Server.ID, err)
	}
	stop := context.AfterFunc(ctx, cc.interrupt)
	sent := time.Now()
	if err := cc.send(call); err != nil {
		stop()
		cc.close()
		return nil, err
	}
	r, err := cc.receive(call)
	if err != nil {
		if cc.reused && ctx.Err() == nil && time.Since(sent) < resetTime {
			c.foundStale(sent.Sub(cc.since))
		}
		stop()
		cc.close()
		return nil, err
	}
	r.client, r.server, r.stop, r.alone = c, call.Server.Incarnation(), stop, call.Alone
	return r, nil
}

// foundStale takes in that a connection was reset when it was used after an idle time.
func (c *Client) foundStale(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = min(c.stale, max(idle, leastStale))
}

// Sweep closes idle connections that are too old and those to backend servers that keep reports as gone.
func (c *Client) Sweep(now time.Time, keep func(fleet.Incarnation) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, conns := range c.idle {
		var rest []*clientConn
		for _, cc := range conns {
			if keep(server) && now.Before(cc.expires) {
				rest = append(rest, cc)
			} else {
				cc.close()
			}
		}
		if len(rest) == 0 {
			delete(c.idle, server)
		} else {
			c.idle[server] = rest
		}
	}
}

// Dials returns how many connections were opened.
func (c *Client) Dials() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// connection returns an idle connection that is still open, or a new one.
func (c *Client) connection(ctx context.Context, call Call) (*clientConn, error) {
	for !call.Alone {
		cc := c.take(call.Server.Incarnation(), call.Once)
		if cc == nil {
			break
		}
		if cc.quiet() {
			cc.reused = true
			return cc, nil
		}
		cc.close()
	}
	c.mu.Lock()
	c.dials++
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", call.Server.Address)
	if err != nil {
		return nil, err
	}
	return newClientConn(raw), nil
}

// take removes the connection that was used last. One for a request that may run only once must not have been idle for
// nearly as long as others that were found reset.
func (c *Client) take(server fleet.Incarnation, once bool) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[server]
	if len(conns) == 0 {
		return nil
	}
	cc := conns[len(conns)-1]
	now := time.Now()
	if !now.Before(cc.expires) || once && now.Sub(cc.since) > c.stale/2 {
		return nil
	}
	c.idle[server] = conns[:len(conns)-1]
	return cc
}

// put keeps a connection for another request.
func (c *Client) put(server fleet.Incarnation, cc *clientConn) {
	cc.since = time.Now()
	cc.expires = cc.since.Add(cc.keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[server]
	if len(conns) >= maxIdle {
		conns[0].close()
		conns = conns[1:]
	}
	c.idle[server] = append(conns, cc)
}
