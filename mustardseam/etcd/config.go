package etcd

import "time"

// Config says where the store is.
type Config struct {
	Addresses []string      // IP:port each; used in turn.
	Timeout   time.Duration // Of one call; 1 s when zero.
	Prefix    string        // Put before every key.
}
