package revision

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
)

// Store is the part of the platform's store that submissions use. After an error of CompareAndSwap other than
// etcd.ErrUnavailable, the write may or may not take effect, now or later.
type Store interface {
	Get(ctx context.Context, key string) (etcd.KeyValue, bool, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, expectedMod int64) (int64, bool, error)
}

// FetchDocument reads the packed document with the digest from the store.
func FetchDocument(ctx context.Context, store Store, digest string) ([]byte, error) {
	kv, ok, err := store.Get(ctx, DocumentPrefix+digest)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, eris.Errorf("read configuration: no document %s in the store", digest)
	}
	return kv.Value, nil
}

// putIfAbsent writes a key whose name contains the digest of its value, so another writer can only have written the
// same value.
func putIfAbsent(ctx context.Context, store Store, key string, value []byte) error {
	if _, ok, err := store.Get(ctx, key); err != nil || ok {
		return err
	}
	_, _, err := store.CompareAndSwap(ctx, key, value, 0)
	if err == nil {
		return nil
	}
	if _, ok, again := store.Get(ctx, key); again == nil && ok {
		return nil
	}
	return err
}
