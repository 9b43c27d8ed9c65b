package etcd

// KeyValue is a key's value and the revision of the store at which it was last written.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
	Deleted     bool // Only in watch events.
}
