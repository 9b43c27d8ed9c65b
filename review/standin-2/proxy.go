package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to an address.
type proxy struct {
	addr, target string

	mu    sync.Mutex
	conns map[*proxyConn]struct{}
	cut   bool // New connections are silent too.
}

// proxyConn is a forwarded connection.
type proxyConn struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

// newProxy returns a proxy that listens on a free port of ip.
func newProxy(ip, target string) *proxy {
	p := &proxy{target: target, conns: map[*proxyConn]struct{}{}}
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	check(err)
	p.addr = ln.Addr().String()
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(near)
		}
	}()
	return p
}

func (p *proxy) forward(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &proxyConn{near: near, far: far}
	p.mu.Lock()
	c.silent = p.cut
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(far, near) })
	both.Go(func() { c.copy(near, far) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards one direction until its end. What arrives on a silent connection is lost.
func (c *proxyConn) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if c.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func (c *proxyConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes the open connections silent for good, without a reset. New ones work. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.conns)
}

// cutOff makes all connections silent, also new ones, as a partition does.
func (p *proxy) cutOff() {
	p.silence()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = true
}

// heal ends a partition. Connections that were open stay silent, new ones work.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = false
}
