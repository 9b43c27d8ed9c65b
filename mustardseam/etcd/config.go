package etcd

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// Config configures a Client.
type Config struct {
	Addresses []string      // IP:port of each member of the store; the client uses one until it fails and then the next.
	Timeout   time.Duration // Timeout of one call, over all addresses; 1 s if zero.
	Prefix    string        // Prepended to every key.

	Dial tcp.DialFunc // Opens connections, except those of watches; nil means net.DialTimeout.
}
