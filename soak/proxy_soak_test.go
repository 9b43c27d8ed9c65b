package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the connections through it.
type mode int

const (
	forward       mode = iota
	delay              // Bytes arrive 100 ms late.
	blockBoth          // Bytes are held back in both directions.
	blockOutbound      // Bytes from the dialling side are held back.
	reset              // Existing and new connections are reset.
	modeCount
)

// proxyDelay is the latency that the mode delay adds.
const proxyDelay = 100 * time.Millisecond

// proxy forwards connections to an address.
type proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	mode   mode                  // Guarded by mu.
	conns  map[*net.TCPConn]bool // Guarded by mu.
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{ln: ln, target: target, conns: map[*net.TCPConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.ln.Addr().String() }

// setMode changes the mode. Connections that were held back resume when the mode is forward again.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == reset {
		for c := range p.conns {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
		clear(p.conns)
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		raw, err := p.ln.Accept()
		if err != nil {
			return
		}
		c := raw.(*net.TCPConn)
		up, err := net.Dial("tcp", p.target)
		if err != nil || p.currentMode() == reset {
			_ = c.SetLinger(0)
			_ = c.Close()
			if err == nil {
				_ = up.Close()
			}
			continue
		}
		u := up.(*net.TCPConn)
		p.mu.Lock()
		p.conns[c], p.conns[u] = true, true
		p.mu.Unlock()
		go p.copyDirection(u, c, true)
		go p.copyDirection(c, u, false)
	}
}

// copyDirection forwards the bytes of one direction until the connection ends.
func (p *proxy) copyDirection(to, from *net.TCPConn, outbound bool) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
		_ = to.Close()
		_ = from.Close()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for m := p.currentMode(); m == blockBoth || m == blockOutbound && outbound; m = p.currentMode() {
			time.Sleep(5 * time.Millisecond)
		}
		if p.currentMode() == delay {
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				_ = to.SetLinger(0) // A reset is passed on as one.
			}
			return
		}
	}
}
