package main

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// silentAddress occupies an address so that connections to it hang, as they do to a machine without power: its queue of new
// connections is full, and nobody accepts them.
type silentAddress struct {
	fd    int
	conns []net.Conn
}

func newSilentAddress(addr string) (*silentAddress, error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	s := &silentAddress{fd: fd}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	sa := &syscall.SockaddrInet4{Port: a.Port}
	copy(sa.Addr[:], a.IP.To4())
	if err := syscall.Bind(fd, sa); err != nil {
		return nil, fmt.Errorf("bind %s: %w", addr, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return nil, err
	}
	for range 8 {
		c, err := net.DialTimeout("tcp", addr, 50*time.Millisecond)
		if err != nil {
			return s, nil // The queue is full.
		}
		s.conns = append(s.conns, c)
	}
	return nil, fmt.Errorf("%s does not fall silent", addr)
}
