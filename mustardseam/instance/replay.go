package instance

import (
	"container/list"
	"encoding/json"
	"sync"
)

// stored is the answer of a keyed request as it is kept for a replay.
type stored struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body"`
}

// replay keeps the newest answers of keyed requests within a bound of memory.
type replay struct {
	limit int

	mu    sync.Mutex
	size  int                      // Guarded by mu.
	order *list.List               // Guarded by mu; the newest first.
	items map[string]*list.Element // Guarded by mu.
}

// kept is an entry of the order.
type kept struct {
	request string
	answer  []byte
}

func newReplay(limit int) *replay {
	return &replay{limit: limit, order: list.New(), items: map[string]*list.Element{}}
}

// put keeps an answer unless it alone exceeds the bound.
func (r *replay) put(request string, s stored) {
	b, err := json.Marshal(s)
	if err != nil || len(b) > r.limit {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.items[request]; ok {
		return
	}
	r.items[request] = r.order.PushFront(kept{request, b})
	r.size += len(b)
	for r.size > r.limit {
		last := r.order.Remove(r.order.Back()).(kept)
		delete(r.items, last.request)
		r.size -= len(last.answer)
	}
}

// get returns the encoded answer.
func (r *replay) get(request string) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.items[request]
	if !ok {
		return nil, false
	}
	return e.Value.(kept).answer, true
}
