package instance

import (
	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// State is the dump of an instance.
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

// PoolState is this instance's part in one pool.
type PoolState struct {
	Mode    string        `json:"mode"`
	Serving uint64        `json:"serving-epoch"` // 0 when this instance does not decide for the pool.
	Record  tenure.Record `json:"record"`        // As last read; without an epoch when none is known.
	Asks    int           `json:"asks"`
	Started int           `json:"started"`
	Pool    any           `json:"pool,omitempty"`
}

// State returns the dump.
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
		Mode: h.tenure.Mode(h.inst.cfg.Now()).String(), Serving: h.serving, Record: rec, Asks: len(h.asks), Started: len(h.started),
	}
	if h.serving != 0 {
		s.Pool = h.pool.Dump()
	}
	return s
}
