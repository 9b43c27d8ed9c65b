package revision

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
)

// Store is what submissions need of the platform's store. An error of Swap that is not etcd.ErrUnavailable leaves open
// whether the write takes effect, now or later.
type Store interface {
	Get(ctx context.Context, key string) (etcd.KeyValue, bool, error)
	Swap(ctx context.Context, key string, value []byte, last int64) (int64, bool, error)
}

// Fetch reads the document of a digest from the store.
func Fetch(ctx context.Context, store Store, digest string) ([]byte, error) {
	kv, ok, err := store.Get(ctx, DocPrefix+digest)
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, eris.Errorf("read configuration: no document %s in the store", digest)
	}
	return kv.Value, nil
}

// putOnce writes a key whose name is its content's digest; another writer can only have written the same.
func putOnce(ctx context.Context, store Store, key string, value []byte) error {
	if _, ok, err := store.Get(ctx, key); err != nil || ok {
		return err
	}
	_, _, err := store.Swap(ctx, key, value, 0)
	if err == nil {
		return nil
	}
	if _, ok, again := store.Get(ctx, key); again == nil && ok {
		return nil
	}
	return err
}
