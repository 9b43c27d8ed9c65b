package etcd

import (
	"bufio"
	"encoding/json"
	"slices"
	"time"

	"github.com/gofiber/fiber/v3"
)

// watchBeat is the interval of empty lines on a watch. A line feed shows whether the peer still listens, so that an
// abandoned watch ends.
const watchBeat = time.Second

// watcher is one waiting watch.
type watcher struct {
	from     number // First revision that has not been sent.
	key, end []byte
	drops    int // Of the store when the watch began.
}

// watch streams the events of a key or range from a revision on.
func (s *Store) watch(c fiber.Ctx) error {
	var r watchRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return refuse(c, err)
	}
	s.mu.Lock()
	s.stats.Watches++
	err := s.admit()
	hello := watchResponse{}
	hello.Result.Created = true
	hello.Result.Header.Revision = s.revision
	w := watcher{r.Create.StartRevision, slices.Clone(r.Create.Key), slices.Clone(r.Create.RangeEnd), s.drops}
	if w.from == 0 {
		w.from = s.revision + 1
	}
	gone := w.from <= s.compacted
	last := s.compacted
	s.mu.Unlock()
	if err != nil {
		return refuse(c, err)
	}
	return c.SendStreamWriter(func(out *bufio.Writer) {
		if !send(out, hello) {
			return
		}
		if gone {
			var end watchResponse
			end.Result.Canceled, end.Result.CompactRevision = true, last+1
			end.Result.CancelReason = errCompacted.Error()
			send(out, end)
			return
		}
		s.follow(&w, out)
	})
}

// follow sends events until the peer leaves, the store goes down or drops its watches.
func (s *Store) follow(w *watcher, out *bufio.Writer) {
	for {
		events, changed, ended := s.since(w)
		if ended {
			return
		}
		if len(events) > 0 {
			var m watchResponse
			m.Result.Header.Revision = w.from - 1
			m.Result.Events = events
			if !send(out, m) {
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-time.After(watchBeat):
			if _, err := out.WriteString("\n"); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

// since returns the watch's next events and a channel closed at the next change; ended is true when the watch must end.
func (s *Store) since(w *watcher) (events []event, changed <-chan struct{}, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.faults.Down || s.drops != w.drops || w.from <= s.compacted {
		return nil, nil, true
	}
	at, _ := slices.BinarySearchFunc(s.log, w.from, func(e event, from number) int { return int(e.KV.ModRevision - from) })
	for _, e := range s.log[at:] {
		if within(e.KV.Key, w.key, w.end) {
			events = append(events, e)
		}
	}
	w.from = max(w.from, s.revision+1)
	return events, s.changed, false
}

func send(w *bufio.Writer, m watchResponse) bool {
	b, err := json.Marshal(m)
	if err != nil {
		return false
	}
	_, _ = w.Write(append(b, '\n'))
	return w.Flush() == nil
}
