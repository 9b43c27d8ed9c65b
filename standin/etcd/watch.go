package etcd

import (
	"bufio"
	"encoding/json"
	"slices"
	"time"

	"github.com/gofiber/fiber/v3"
)

// watchKeepAliveInterval is the interval at which an idle watch sends an empty line. A failed write shows that the
// client has disconnected, so that the watch ends.
const watchKeepAliveInterval = time.Second

// watcher is the state of an open watch.
type watcher struct {
	nextRevision jsonInt64 // First revision that has not yet been sent.
	key, end     []byte
	watchDrops   int // Value of Store.watchDrops when the watch started.
}

// handleWatch streams the events of a key or range from the start revision on.
func (s *Store) handleWatch(c fiber.Ctx) error {
	var r watchRequest
	if err := json.Unmarshal(c.Body(), &r); err != nil {
		return sendError(c, err)
	}
	s.mu.Lock()
	s.stats.Watches++
	err := s.checkAvailable()
	created := watchResponse{}
	created.Result.Created = true
	created.Result.Header.Revision = s.revision
	w := watcher{r.Create.StartRevision, slices.Clone(r.Create.Key), slices.Clone(r.Create.RangeEnd), s.watchDrops}
	if w.nextRevision == 0 {
		w.nextRevision = s.revision + 1
	}
	compacted := w.nextRevision <= s.compactedRevision
	compactedRevision := s.compactedRevision
	s.mu.Unlock()
	if err != nil {
		return sendError(c, err)
	}
	return c.SendStreamWriter(func(out *bufio.Writer) {
		if !sendMessage(out, created) {
			return
		}
		if compacted {
			var end watchResponse
			end.Result.Canceled, end.Result.CompactRevision = true, compactedRevision+1
			end.Result.CancelReason = errCompacted.Error()
			sendMessage(out, end)
			return
		}
		s.sendEvents(&w, out)
	})
}

// sendEvents sends events until the client disconnects, the store goes down, or its watches are dropped or compacted.
func (s *Store) sendEvents(w *watcher, out *bufio.Writer) {
	for {
		events, changed, ended := s.nextEvents(w)
		if ended {
			return
		}
		if len(events) > 0 {
			var m watchResponse
			m.Result.Header.Revision = w.nextRevision - 1
			m.Result.Events = events
			if !sendMessage(out, m) {
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-time.After(watchKeepAliveInterval):
			if _, err := out.WriteString("\n"); err != nil || out.Flush() != nil {
				return
			}
		}
	}
}

// nextEvents returns the next events of the watch and a channel that is closed at the next change; ended reports that
// the watch must end.
func (s *Store) nextEvents(w *watcher) (events []event, changed <-chan struct{}, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.faults.Down || s.watchDrops != w.watchDrops || w.nextRevision <= s.compactedRevision {
		return nil, nil, true
	}
	at, _ := slices.BinarySearchFunc(s.log, w.nextRevision, func(e event, from jsonInt64) int { return int(e.KV.ModRevision - from) })
	for _, e := range s.log[at:] {
		if inRange(e.KV.Key, w.key, w.end) {
			events = append(events, e)
		}
	}
	w.nextRevision = max(w.nextRevision, s.revision+1)
	return events, s.changed, false
}

func sendMessage(w *bufio.Writer, m watchResponse) bool {
	b, err := json.Marshal(m)
	if err != nil {
		return false
	}
	_, _ = w.Write(append(b, '\n'))
	return w.Flush() == nil
}
