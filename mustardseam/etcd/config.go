package etcd

import (
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/tcp"
)

// Config says where the store is.
type Config struct {
	Addresses []string      // IP:port each; used in turn.
	Timeout   time.Duration // Of one call; 1 s when zero.
	Prefix    string        // Put before every key.

	Dial tcp.DialFunc // Opens connections; nil for the usual way.
}
