package instance

import (
	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// State is the state of an instance as served by its admin server.
type State struct {
	Instance    string               `json:"instance"`
	Incarnation string               `json:"incarnation"`
	Ready       bool                 `json:"ready"`
	Draining    bool                 `json:"draining"`
	Running     int64                `json:"running"`
	Revision    uint64               `json:"revision"`
	Digest      string               `json:"digest"`
	StoreDown   bool                 `json:"store-down"`
	Marks       []string             `json:"marks"`
	Members     member.Dump          `json:"members"`
	Pools       map[string]PoolState `json:"pools"`
}

// PoolState is the state of an instance for one pool.
type PoolState struct {
	Mode    string        `json:"mode"`
	Serving uint64        `json:"serving-epoch"` // 0 when this instance does not serve the pool.
	Record  tenure.Record `json:"record"`        // Home record as last read; its epoch is 0 when no record is known.
	Asks    int           `json:"asks"`
	Started int           `json:"started"`
	Pool    any           `json:"pool,omitempty"`
}

// State returns a snapshot of the instance's state.
func (i *Instance) State() State {
	now := i.cfg.Now()
	s := State{
		Instance: i.cfg.ID, Incarnation: i.cfg.Incarnation, Ready: i.Ready(), Draining: i.draining.Load(),
		Running: i.running.Load(), StoreDown: i.storeDown.Load(), Marks: i.marks.List(), Pools: map[string]PoolState{},
	}
	s.Revision, s.Digest = i.revision()
	i.membersMu.Lock()
	s.Members = i.members.Dump(now)
	i.membersMu.Unlock()
	for name, h := range *i.homes.Load() {
		s.Pools[name] = h.state()
	}
	return s
}

func (h *home) state() PoolState {
	h.mu.Lock()
	defer h.mu.Unlock()
	rec, _ := h.tenure.Record()
	s := PoolState{
		Mode: h.tenure.Mode(h.inst.cfg.Now()).String(), Serving: h.servingEpoch, Record: rec, Asks: len(h.asks), Started: len(h.startedRequests),
	}
	if h.servingEpoch != 0 {
		s.Pool = h.pool.Dump()
	}
	return s
}
