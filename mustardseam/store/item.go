package store

// Item is the value of a key, or its deletion, at a revision.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`       // Store revision of the latest change of the key.
	Deleted  bool   `json:"gone,omitempty"` // The key was deleted.
	Era      int64  `json:"era,omitempty"`  // Era in which this state became known.
}
