package peers

import (
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
)

// instance is a simulated instance with its queue and its view of the loads.
type instance struct {
	w             *World
	board         *placement.Board
	queue         placement.Queue
	waiting       map[*placement.Waiting]*Record
	running       map[*run]bool
	choose        chooser
	reportedLoads map[string]placement.Load // Its own loads per backend server, as of its latest report.
	startRate     placement.Rate
	nextServer    int
	dead          bool
}

// handleCall places a caller's request at once if no wait is predicted and a backend server has room. Otherwise it refuses the
// request as too late or queues it.
func (inst *instance) handleCall(r *Record) {
	now := inst.w.Clock.Now()
	if wait, known := inst.queue.PredictWait(now, r.job); known && wait == 0 && inst.place(r, false) {
		return
	}
	if refusal := inst.queue.RefuseLate(now, r.job); refusal != nil {
		inst.w.refuse(r, refusal)
		return
	}
	w := &placement.Waiting{Job: r.job, PlaceBy: r.job.PlaceBy()}
	inst.waiting[w] = r
	inst.queue.Add(now, w)
}

// place sends a request to the backend server that the policy chooses and reports whether it chose one.
func (inst *instance) place(r *Record, waiting bool) bool {
	now := inst.w.Clock.Now()
	s := inst.choose(now, r.job, waiting)
	if s == nil {
		return false
	}
	inst.send(r, s)
	return true
}

// send sends a request to a backend server.
func (inst *instance) send(r *Record, s *fleet.Server) {
	now := inst.w.Clock.Now()
	u := &run{instance: inst, record: r, server: s, sent: now, loadAtSend: inst.board.Load(s)}
	r.run = u
	r.Sends++
	inst.running[u] = true
	inst.board.Start(now, s, r.job)
	inst.startRate.Add(now)
	inst.w.Clock.After(engineDelay, u.admit)
}

// finishRun records the end of a run and places waiting requests.
func (inst *instance) finishRun(u *run, o placement.Outcome) {
	delete(inst.running, u)
	u.record.run = nil
	inst.board.Finish(inst.w.Clock.Now(), inst.w.service, u.server, u.record.job, o)
	inst.placeWaiting()
}

// placeWaiting places waiting requests and refuses those that have expired.
func (inst *instance) placeWaiting() {
	if inst.dead {
		return
	}
	now := inst.w.Clock.Now()
	for _, w := range inst.queue.RemoveExpired(now) {
		r := inst.waiting[w]
		delete(inst.waiting, w)
		inst.w.refuse(r, inst.queue.RefuseExpired(now, r.job))
	}
	inst.queue.Place(now, func(string) int { return 0 }, func(w *placement.Waiting) (placed, more bool) {
		r := inst.waiting[w]
		if !inst.place(r, true) {
			return false, true
		}
		delete(inst.waiting, w)
		return true, true
	})
}

// exchangeLoads publishes the loads of this instance and reads the latest reports of the others.
func (inst *instance) exchangeLoads() {
	inst.reportedLoads = inst.board.OwnLoads()
	others, alive := map[string]placement.Load{}, 0
	for _, o := range inst.w.instances {
		if o.dead {
			continue
		}
		alive++
		if o == inst {
			continue
		}
		for id, l := range o.reportedLoads {
			others[id] = others[id].Plus(l)
		}
	}
	inst.board.SetOtherLoads(others)
	inst.board.SetInstances(alive, 1)
	// A report is up to one interval old when it arrives and is used for another one.
	delay := 2 * inst.w.cfg.Word.Seconds()
	inst.board.SetUnseen(inst.startRate.PerSecond(inst.w.Clock.Now()) * float64(alive-1) * delay / float64(len(inst.w.servers)))
	inst.placeWaiting()
}

// fail stops the instance and breaks the connections of its callers, which retry at another one.
func (inst *instance) fail() {
	inst.dead = true
	var interrupted []*Record
	for u := range inst.running {
		u.cancel()
		interrupted = append(interrupted, u.record)
	}
	for _, r := range inst.waiting {
		interrupted = append(interrupted, r)
	}
	inst.running, inst.waiting = map[*run]bool{}, map[*placement.Waiting]*Record{}
	for _, r := range sortByArrival(interrupted) {
		inst.w.breakConnection(r)
	}
}

// withdraw removes a waiting request from the queue.
func (inst *instance) withdraw(r *Record) {
	for w, other := range inst.waiting {
		if other == r {
			inst.queue.Remove(w)
			delete(inst.waiting, w)
		}
	}
}
