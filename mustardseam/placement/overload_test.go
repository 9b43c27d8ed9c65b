package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// overloadSim simulates instances that exchange reports at intervals and receive more requests than their backend
// servers can process.
type overloadSim struct {
	servers  []*fleet.Server
	boards   []*Board
	waiting  []int                       // Number of waiting requests, by instance.
	reported []map[string]Load           // Latest reported loads, by instance.
	running  map[string][]runningRequest // Requests in the order of their arrival, by backend server.
	placed   int                         // Number of requests sent to backend servers.
	late     int                         // Number of requests that waited at a backend server beyond their objective.
}

// runningRequest is a request at a backend server.
type runningRequest struct {
	board int // Index of the instance that sent it.
	sent  time.Time
	ends  time.Time // Zero while it waits for a slot.
}

const (
	overloadServiceTime    = 500 * time.Millisecond // Time that a request occupies a slot.
	overloadReportInterval = 125 * time.Millisecond
	overloadObjective      = time.Second // Time from dispatch to the first event.
	overloadStep           = 5 * time.Millisecond
	overloadInstances      = 60
)

// newOverloadSim returns a simulation of idle backend servers and instances.
func newOverloadSim(servers, instances int) *overloadSim {
	o := &overloadSim{
		running: map[string][]runningRequest{}, waiting: make([]int, instances), reported: make([]map[string]Load, instances),
	}
	for i := range servers {
		o.servers = append(o.servers, server(fmt.Sprintf("s%d", i)))
	}
	for i := range instances {
		b := NewBoard(BoardConfig{Self: fmt.Sprintf("n%d", i), Random: func() float64 { return 1 }})
		b.SetInstances(instances, 1)
		b.SetUnseen(1) // The value before the overload.
		o.boards = append(o.boards, b)
	}
	return o
}

// run simulates requests that arrive at a constant rate, distributed evenly over the instances.
func (o *overloadSim) run(perSecond float64, d time.Duration) {
	due, next := 0.0, 0
	for step := range int(d / overloadStep) {
		now := start.Add(time.Duration(step) * overloadStep)
		o.advanceRequests(now)
		for due += perSecond * overloadStep.Seconds(); due >= 1; due-- {
			o.waiting[next%len(o.boards)]++
			next++
		}
		for i, b := range o.boards {
			if (step+i)%int(overloadReportInterval/overloadStep) == 0 {
				o.exchangeReports(i, perSecond)
			}
			o.placeWaiting(now, i, b)
		}
	}
}

// advanceRequests ends the requests whose service time is over and starts those that now have a slot.
func (o *overloadSim) advanceRequests(now time.Time) {
	for _, s := range o.servers {
		var remaining []runningRequest
		for n, r := range o.running[s.ID] {
			if n < s.Slots && r.ends.IsZero() {
				r.ends = now.Add(overloadServiceTime)
				if now.Sub(r.sent) > overloadObjective {
					o.late++
				}
			}
			if !r.ends.IsZero() && !now.Before(r.ends) {
				o.boards[r.board].Finish(now, engineService, s, job(3700, 120), Outcome{
					Answered: true, OK: true, Total: overloadServiceTime,
				})
				continue
			}
			remaining = append(remaining, r)
		}
		o.running[s.ID] = remaining
	}
}

// exchangeReports records the loads of an instance and gives it the latest reports of the others.
func (o *overloadSim) exchangeReports(i int, perSecond float64) {
	o.reported[i] = o.boards[i].OwnLoads()
	sum := map[string]Load{}
	for n, loads := range o.reported {
		if n == i {
			continue
		}
		for id, l := range loads {
			sum[id] = sum[id].Plus(l)
		}
	}
	o.boards[i].SetOtherLoads(sum)
	o.boards[i].SetUnseen(perSecond * 2 * overloadReportInterval.Seconds() / float64(len(o.servers)))
}

// placeWaiting places the waiting requests of an instance until none of the backend servers has room.
func (o *overloadSim) placeWaiting(now time.Time, i int, b *Board) {
	for ; o.waiting[i] > 0; o.waiting[i]-- {
		j := job(3700, 120)
		s := b.Choose(now, Candidates{Service: engineService, Servers: o.servers}, j, 0, o.waiting[i] > 1)
		if s == nil {
			return
		}
		b.Start(now, s, j)
		o.running[s.ID] = append(o.running[s.ID], runningRequest{board: i, sent: now})
		o.placed++
	}
}

// TestOverloadKeepsServerQueuesShort guards against instances that all send to the few backend servers with a free slot
// before they receive reports. Requests arrive at 1.5 times the capacity of 140 backend servers. At most 1 % of the
// placed requests may wait at a backend server beyond their objective, and at least 90 % of the capacity must be used.
func TestOverloadKeepsServerQueuesShort(t *testing.T) {
	o := newOverloadSim(140, overloadInstances)
	capacity := 140 * 4 / overloadServiceTime.Seconds()
	const length = 4 * time.Second
	o.run(1.5*capacity, length)
	assert.Assert(t, o.late <= o.placed/100, "%d of %d requests were late", o.late, o.placed)
	assert.Assert(t, float64(o.placed) >= 0.9*capacity*length.Seconds(), "%d requests placed", o.placed)
}

// TestOverloadSingleInstanceFillsSlots guards against a hub that places all requests but leaves slots free or fills
// queues. It knows all loads, so no request may wait at a backend server beyond its objective, and at least 97 % of the
// capacity must be used.
func TestOverloadSingleInstanceFillsSlots(t *testing.T) {
	o := newOverloadSim(140, 1)
	capacity := 140 * 4 / overloadServiceTime.Seconds()
	const length = 4 * time.Second
	o.run(1.5*capacity, length)
	assert.Equal(t, o.late, 0)
	assert.Assert(t, float64(o.placed) >= 0.97*capacity*length.Seconds(), "%d requests placed", o.placed)
}
