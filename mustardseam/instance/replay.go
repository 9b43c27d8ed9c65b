package instance

import (
	"container/list"
	"encoding/json"
	"sync"
)

// storedAnswer is the answer of a keyed request as stored for replay.
type storedAnswer struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body"`
}

// replay is a cache of the newest answers of keyed requests, bounded in bytes.
type replay struct {
	limit int // Largest total size of the answers in bytes.

	mu    sync.Mutex
	size  int                      // Guarded by mu.
	order *list.List               // Guarded by mu; the newest first.
	items map[string]*list.Element // Guarded by mu.
}

// replayEntry is an element of the list replay.order.
type replayEntry struct {
	request string
	answer  []byte
}

func newReplay(limit int) *replay {
	return &replay{limit: limit, order: list.New(), items: map[string]*list.Element{}}
}

// put stores the answer of a request and evicts the oldest answers beyond the limit. An answer that alone exceeds the
// limit is not stored.
func (r *replay) put(request string, s storedAnswer) {
	b, err := json.Marshal(s)
	if err != nil || len(b) > r.limit {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.items[request]; ok {
		return
	}
	r.items[request] = r.order.PushFront(replayEntry{request, b})
	r.size += len(b)
	for r.size > r.limit {
		last := r.order.Remove(r.order.Back()).(replayEntry)
		delete(r.items, last.request)
		r.size -= len(last.answer)
	}
}

// get returns the answer of a request as JSON.
func (r *replay) get(request string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.items[request]
	if !ok {
		return nil, false
	}
	return e.Value.(replayEntry).answer, true
}
