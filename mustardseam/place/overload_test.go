package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardseam/mustardseam/mustardseam/fleet"
)

// overload plays instances that hear of each other at intervals and place more requests than their backend servers work
// off at a time.
type overload struct {
	servers []*fleet.Server
	boards  []*Board
	waiting []int             // By instance.
	told    []map[string]Load // By instance, as it said last.
	running map[string][]run  // By backend server, in the order of their arrival.
	placed  int
	late    int // Requests that waited at their backend server for longer than their objective.
}

// run is a request at a backend server.
type run struct {
	board int
	sent  time.Time
	ends  time.Time // Zero while it waits for a slot.
}

const (
	overloadTime  = 500 * time.Millisecond // That a request holds a slot.
	overloadWord  = 125 * time.Millisecond // Between two words.
	overloadAim   = time.Second            // From the sending to the first event.
	overloadStep  = 5 * time.Millisecond
	overloadNodes = 60
)

func newOverload(servers, nodes int) *overload {
	o := &overload{running: map[string][]run{}, waiting: make([]int, nodes), told: make([]map[string]Load, nodes)}
	for i := range servers {
		o.servers = append(o.servers, server(fmt.Sprintf("s%d", i)))
	}
	for i := range nodes {
		b := NewBoard(BoardConfig{Self: fmt.Sprintf("n%d", i), Random: func() float64 { return 1 }})
		b.SetNodes(nodes, 1)
		b.SetUnheard(1) // As before the overload.
		o.boards = append(o.boards, b)
	}
	return o
}

// play lets requests arrive at a rate, evenly at the instances.
func (o *overload) play(perSecond float64, d time.Duration) {
	due, next := 0.0, 0
	for step := range int(d / overloadStep) {
		now := start.Add(time.Duration(step) * overloadStep)
		o.end(now)
		for due += perSecond * overloadStep.Seconds(); due >= 1; due-- {
			o.waiting[next%len(o.boards)]++
			next++
		}
		for i, b := range o.boards {
			if (step+i)%int(overloadWord/overloadStep) == 0 {
				o.word(i, perSecond)
			}
			o.place(now, i, b)
		}
	}
}

// end ends requests whose time is over and starts those that wait for their slots.
func (o *overload) end(now time.Time) {
	for _, s := range o.servers {
		var left []run
		for n, r := range o.running[s.ID] {
			if n < s.Slots && r.ends.IsZero() {
				r.ends = now.Add(overloadTime)
				if now.Sub(r.sent) > overloadAim {
					o.late++
				}
			}
			if !r.ends.IsZero() && !now.Before(r.ends) {
				o.boards[r.board].Finish(now, engine, s, job(3700, 120), Outcome{Answered: true, OK: true, Total: overloadTime})
				continue
			}
			left = append(left, r)
		}
		o.running[s.ID] = left
	}
}

// word tells an instance what the others said last.
func (o *overload) word(i int, perSecond float64) {
	o.told[i] = o.boards[i].Own()
	sum := map[string]Load{}
	for n, loads := range o.told {
		if n == i {
			continue
		}
		for id, l := range loads {
			sum[id] = sum[id].Plus(l)
		}
	}
	o.boards[i].SetOthers(sum)
	o.boards[i].SetUnheard(perSecond * 2 * overloadWord.Seconds() / float64(len(o.servers)))
}

// place places what waits at an instance.
func (o *overload) place(now time.Time, i int, b *Board) {
	for ; o.waiting[i] > 0; o.waiting[i]-- {
		j := job(3700, 120)
		s := b.Choose(now, Candidates{Service: engine, Servers: o.servers}, j, 0, o.waiting[i] > 1)
		if s == nil {
			return
		}
		b.Start(now, s, j)
		o.running[s.ID] = append(o.running[s.ID], run{board: i, sent: now})
		o.placed++
	}
}

// TestOverload guards against instances that all send to the few backend servers that come free before they hear of each
// other. Half as much again arrives as 140 backend servers work off; of what is placed, at most one in a hundred may wait at
// its backend server for longer than its caller's objective, and the slots must not stay free.
func TestOverload(t *testing.T) {
	o := newOverload(140, overloadNodes)
	capacity := 140 * 4 / overloadTime.Seconds()
	const length = 4 * time.Second
	o.play(1.5*capacity, length)
	assert.Assert(t, o.late <= o.placed/100, "%d of %d requests were late", o.late, o.placed)
	assert.Assert(t, float64(o.placed) >= 0.9*capacity*length.Seconds(), "%d requests placed", o.placed)
}

// TestOverloadOnePlace guards against a hub that places for all and leaves slots free or fills queues: it knows all loads,
// so that no request may wait at a backend server and the slots are used to 97 of 100.
func TestOverloadOnePlace(t *testing.T) {
	o := newOverload(140, 1)
	capacity := 140 * 4 / overloadTime.Seconds()
	const length = 4 * time.Second
	o.play(1.5*capacity, length)
	assert.Equal(t, o.late, 0)
	assert.Assert(t, float64(o.placed) >= 0.97*capacity*length.Seconds(), "%d requests placed", o.placed)
}
