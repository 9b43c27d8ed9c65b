package store

// Item is the state of a key at a revision.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"` // Of the latest change of the key.
	Gone     bool   `json:"gone,omitempty"`
}
