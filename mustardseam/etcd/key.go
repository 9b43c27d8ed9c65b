package etcd

import (
	"bytes"

	"github.com/rotisserie/eris"
)

func (c *Client) prefixedKey(key string) []byte { return []byte(c.cfg.Prefix + key) }

// trimPrefix converts a key and its value from the wire format and removes the configured prefix from the key.
func (c *Client) trimPrefix(kv keyValue) (KeyValue, error) {
	name, ok := bytes.CutPrefix(kv.Key, []byte(c.cfg.Prefix))
	if !ok {
		return KeyValue{}, eris.Errorf("store returned the key %q, which was not requested", kv.Key)
	}
	return KeyValue{Key: string(name), Value: kv.Value, ModRevision: kv.ModRevision}, nil
}

// prefixRange returns the range of all keys with the prefix, as the protocol defines it: the end is the prefix with its
// last byte incremented, and a zero byte means the lowest key as the start and no bound as the end.
func prefixRange(prefix []byte) (from, end []byte) {
	end = bytes.Clone(prefix)
	for len(end) > 0 && end[len(end)-1] == 0xff {
		end = end[:len(end)-1]
	}
	if len(end) == 0 {
		end = []byte{0}
	} else {
		end[len(end)-1]++
	}
	if len(prefix) == 0 {
		prefix = []byte{0}
	}
	return prefix, end
}
