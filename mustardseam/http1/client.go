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
	"github.com/mustardseam/mustardseam/mustardseam/rfc9112"
)

const (
	// dialTimeout limits the time to connect. Two round trips take at most 4 ms, and a lost SYN is retransmitted only
	// after a second; by then another backend server is the better choice.
	dialTimeout = 300 * time.Millisecond
	// downTimeout limits the time in which a backend server must accept a connection not to count as down.
	downTimeout = 100 * time.Millisecond
	// endTimeout is how long a new connection must stay open for the backend server not to count as down.
	endTimeout = 20 * time.Millisecond
	// unackedTimeout closes a connection if sent data stays unacknowledged, for example because the peer lost power or
	// there is a network partition (TCP_USER_TIMEOUT).
	unackedTimeout = 1500 * time.Millisecond
	// defaultKeepAliveTimeout is how long an idle connection is kept if the backend server sends no Keep-Alive timeout.
	defaultKeepAliveTimeout = 4 * time.Second
	// keepAliveMargin is subtracted from the timeout that a backend server sends, so that a request does not arrive while
	// the backend server closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// defaultStaleAfter is the initial value of Client.staleAfter, until a reset is observed.
	defaultStaleAfter = 12 * time.Second
	// minStaleAfter is the lower limit of Client.staleAfter, so that connections that were idle only briefly are still
	// reused.
	minStaleAfter = 100 * time.Millisecond
	// resetTimeout is the time within which a request on a stale connection fails with a reset.
	resetTimeout = 50 * time.Millisecond
	// maxIdleConns is the maximum number of idle connections to one backend server.
	maxIdleConns = 32
	// defaultAnswerMemory limits the memory for answers where ClientConfig sets none. Without a limit, a few backend servers that
	// send endless responses, or callers that read slowly, would exhaust the memory of the instance.
	defaultAnswerMemory = 32 << 20
	// answerMemoryWait is how long an answer that does not fit waits until others are sent or given up.
	answerMemoryWait = 2 * time.Second
	// uncountedBytes is the part of each answer that does not count. Most answers are shorter, or little longer.
	uncountedBytes = 16 << 10
	// uncountedLines is the number of header lines of an answer that do not count.
	uncountedLines = 64
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// AnswerMemory limits the bytes that the answers which are being read or sent occupy together; 0 means a default.
	AnswerMemory int64
	// ReclaimAnswers asks for the end of answers that occupy about the given number of bytes, because others do not fit; nil means
	// that none is ended early. It must not wait.
	ReclaimAnswers func(bytes int64)
	// ResponseFields are the response fields that may occur only once, beside those of the standard.
	ResponseFields rfc9112.Fields
}

// Client sends requests to backend servers and keeps idle connections for reuse. Its methods are safe for concurrent use.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[fleet.Incarnation][]*clientConn // Idle connections, the most recently used last; guarded by mu.
	// staleAfter is the shortest idle time after which a connection was found reset, initially defaultStaleAfter. Requests
	// that may run at most once do not reuse connections that were idle for more than half of it. Guarded by mu.
	staleAfter time.Duration
	dialCount  int // Number of attempts to open a connection; guarded by mu.
	answers    *memoryAccount
	singletons *rfc9112.Singletons
	// refusedAnswers is the number of answers that were given up because the memory for answers was full.
	refusedAnswers atomic.Int64
}

// NewClient returns a client without connections.
func NewClient(cfg ClientConfig) *Client {
	if cfg.AnswerMemory <= 0 {
		cfg.AnswerMemory = defaultAnswerMemory
	}
	if cfg.ReclaimAnswers == nil {
		cfg.ReclaimAnswers = func(int64) {}
	}
	return &Client{
		answers:    newMemoryAccount(cfg.AnswerMemory, answerMemoryWait, cfg.ReclaimAnswers),
		singletons: rfc9112.NewSingletons(cfg.ResponseFields),
		staleAfter: defaultStaleAfter,
		idle:       map[fleet.Incarnation][]*clientConn{},
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
			Control: func(_, _ string, c syscall.RawConn) error {
				var sockErr error
				if controlErr := c.Control(func(fd uintptr) {
					sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
				}); controlErr != nil {
					return controlErr
				}
				return sockErr
			},
		},
	}
}

// Do sends a request and reads the header of its response. It returns ErrNotSent if no byte can have reached the backend
// server, ErrUnexpectedResponse if the received bytes are not the response to the request, and ErrIncompleteResponse
// otherwise. After the last two the request may have run.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	cc, err := c.acquire(ctx, call)
	if err != nil {
		return nil, eris.Wrapf(ErrNotSent, "connect to backend server %s: %v", call.Server.ID, err)
	}
	stopInterrupt := context.AfterFunc(ctx, cc.interrupt)
	sentAt := time.Now()
	if err := cc.send(call); err != nil {
		stopInterrupt()
		cc.close()
		return nil, err
	}
	r, err := cc.receive(ctx, c, call)
	if err != nil {
		if cc.reused && cc.end.ended && ctx.Err() == nil && time.Since(sentAt) < resetTimeout {
			c.recordReset(sentAt.Sub(cc.idleSince))
		}
		stopInterrupt()
		cc.close()
		return nil, err
	}
	r.stopInterrupt = stopInterrupt
	return r, nil
}

// recordReset lowers staleAfter after a connection was found reset that had been idle for idleTime.
func (c *Client) recordReset(idleTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.staleAfter = min(c.staleAfter, max(idleTime, minStaleAfter))
}

// CloseExpired closes idle connections that have expired, those to backend servers for which keep returns false, and those that the
// backend server has closed or on which it goes on sending.
func (c *Client) CloseExpired(now time.Time, keep func(fleet.Incarnation) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for server, conns := range c.idle {
		var kept []*clientConn
		for _, cc := range conns {
			if keep(server) && now.Before(cc.idleUntil) && cc.isOpenAndEmpty() {
				kept = append(kept, cc)
			} else {
				cc.close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, server)
		} else {
			c.idle[server] = kept
		}
	}
}

// DialCount returns the number of connections that were dialed, including failed attempts.
func (c *Client) DialCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialCount
}

// IsDown reports whether a backend server accepts no connection, or ends it at once, as one that has just crashed or a proxy
// before it.
func (c *Client) IsDown(ctx context.Context, server *fleet.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, downTimeout)
	defer cancel()
	c.mu.Lock()
	c.dialCount++
	c.mu.Unlock()
	conn, err := c.dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	// A read with a deadline would take a connection for open that has ended while the process was paused.
	time.Sleep(endTimeout)
	return !newClientConn(conn).isOpenAndEmpty()
}

// acquire returns an idle connection that is still open, or dials a new one.
func (c *Client) acquire(ctx context.Context, call Call) (*clientConn, error) {
	for !call.Exclusive {
		cc := c.takeIdle(call.Server.Incarnation(), call.AtMostOnce)
		if cc == nil {
			break
		}
		if cc.isOpenAndEmpty() {
			cc.reused = true
			return cc, nil
		}
		cc.close()
	}
	c.mu.Lock()
	c.dialCount++
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	raw, err := c.dialer.DialContext(ctx, "tcp", call.Server.Address)
	if err != nil {
		return nil, err
	}
	return newClientConn(raw), nil
}

// takeIdle removes and returns the most recently used idle connection, or returns nil. For a request that may run at most
// once, the connection must have been idle for at most half of the idle time after which others were found reset.
func (c *Client) takeIdle(server fleet.Incarnation, atMostOnce bool) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[server]
	if len(conns) == 0 {
		return nil
	}
	cc := conns[len(conns)-1]
	now := time.Now()
	if !now.Before(cc.idleUntil) || atMostOnce && now.Sub(cc.idleSince) > c.staleAfter/2 {
		return nil
	}
	c.idle[server] = conns[:len(conns)-1]
	return cc
}

// putIdle adds a connection to the idle pool. If the pool is full, the least recently used connection is closed.
func (c *Client) putIdle(server fleet.Incarnation, cc *clientConn) {
	// The deadline of the latest request would make the connection look closed.
	cc.setDeadline(cc.conn.SetDeadline, time.Time{})
	cc.idleSince = time.Now()
	cc.idleUntil = cc.idleSince.Add(cc.keepAliveTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[server]
	if len(conns) >= maxIdleConns {
		conns[0].close()
		conns = conns[1:]
	}
	c.idle[server] = append(conns, cc)
}
