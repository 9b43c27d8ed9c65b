package store

import "strings"

// testReplicaConfig is a configuration in which keys that begin with "leased" have leases and a longer value is newer.
var testReplicaConfig = ReplicaConfig{
	Supersedes: func(listed, known Item) bool { return len(listed.Value) > len(known.Value) },
	IsLeased:   func(key string) bool { return strings.HasPrefix(key, "leased") },
}
