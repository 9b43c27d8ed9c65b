package etcd

// KeyValue is a key, its value and the store revision of its last modification.
type KeyValue struct {
	Key         string
	Value       []byte
	ModRevision int64
	Deleted     bool // Whether the key was deleted; set only in watch events.
}
