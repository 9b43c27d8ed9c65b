// Package store replicates the platform's metadata store. A Follower holds a replica of its items, updates it through long
// polls or through changes relayed by other instances, and reports each change in the order of revisions. The replica
// remains available during outages of the store. Keys and values are opaque here; an adapter decodes them.
package store
