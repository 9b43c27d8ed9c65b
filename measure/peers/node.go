package peers

import (
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// node is an instance.
type node struct {
	w       *World
	board   *placement.Board
	queue   placement.Queue
	waiting map[*placement.Waiting]*Record
	running map[*run]bool
	choose  chooser
	told    map[string]placement.Load // Its loads, as it said last.
	starts  placement.Rate
	turn    int
	dead    bool
}

// call takes in a request of a caller.
func (n *node) call(r *Record) {
	now := n.w.Clock.Now()
	if wait, known := n.queue.PredictWait(now, r.job); known && wait == 0 && n.place(r, false) {
		return
	}
	if refusal := n.queue.RefuseLate(now, r.job); refusal != nil {
		n.w.refuse(r, refusal)
		return
	}
	w := &placement.Waiting{Job: r.job, PlaceBy: r.job.PlaceBy()}
	n.waiting[w] = r
	n.queue.Add(w)
}

// place sends a request to a backend server with room and reports whether there is one.
func (n *node) place(r *Record, waiting bool) bool {
	now := n.w.Clock.Now()
	s := n.choose(now, r.job, waiting)
	if s == nil {
		return false
	}
	n.send(r, s)
	return true
}

// send sends a request to a backend server.
func (n *node) send(r *Record, s *fleet.Server) {
	now := n.w.Clock.Now()
	u := &run{node: n, record: r, server: s, sent: now, ahead: n.board.Load(s)}
	r.run = u
	r.Sends++
	n.running[u] = true
	n.board.Start(now, s, r.job)
	n.starts.Add(now)
	n.w.Clock.After(toEngine, u.admit)
}

// finish records the end of a run and places what waits.
func (n *node) finish(u *run, o placement.Outcome) {
	delete(n.running, u)
	u.record.run = nil
	n.board.Finish(n.w.Clock.Now(), n.w.service, u.server, u.record.job, o)
	n.pump()
}

// pump places waiting requests and refuses those whose time is over.
func (n *node) pump() {
	if n.dead {
		return
	}
	now := n.w.Clock.Now()
	for _, w := range n.queue.RemoveExpired(now) {
		r := n.waiting[w]
		delete(n.waiting, w)
		n.w.refuse(r, n.queue.RefuseExpired(now, r.job))
	}
	n.queue.Place(now, func(string) int { return 0 }, func(w *placement.Waiting) (placed, more bool) {
		r := n.waiting[w]
		if !n.place(r, true) {
			return false, true
		}
		delete(n.waiting, w)
		return true, true
	})
}

// hear tells the others of this instance and takes in what they said last.
func (n *node) hear() {
	n.told = n.board.OwnLoads()
	others, alive := map[string]placement.Load{}, 0
	for _, o := range n.w.nodes {
		if o.dead {
			continue
		}
		alive++
		if o == n {
			continue
		}
		for id, l := range o.told {
			others[id] = others[id].Plus(l)
		}
	}
	n.board.SetOtherLoads(others)
	n.board.SetInstances(alive, 1)
	// A word is up to one interval old when it comes and holds for another one.
	lag := 2 * n.w.cfg.Word.Seconds()
	n.board.SetUnreported(n.starts.PerSecond(n.w.Clock.Now()) * float64(alive-1) * lag / float64(len(n.w.servers)))
	n.pump()
}

// lose ends an instance; its callers come back to another one.
func (n *node) lose() {
	n.dead = true
	var left []*Record
	for u := range n.running {
		u.cancel()
		left = append(left, u.record)
	}
	for _, r := range n.waiting {
		left = append(left, r)
	}
	n.running, n.waiting = map[*run]bool{}, map[*placement.Waiting]*Record{}
	for _, r := range sorted(left) {
		n.w.fail(r)
	}
}

// withdraw takes a waiting request back.
func (n *node) withdraw(r *Record) {
	for w, other := range n.waiting {
		if other == r {
			n.queue.Remove(w)
			delete(n.waiting, w)
		}
	}
}
