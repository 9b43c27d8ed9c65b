package instance

import (
	"math/rand/v2"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/member"
	"github.com/mustardseam/mustardseam/mustardseam/peer"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatFanOut   = 2  // Number of random receivers of each heartbeat, besides the known homes.
	heartbeatMembers  = 16 // Largest number of other members described in each heartbeat.
)

// pollInstanceList reads the platform's list of instances every PlatformPollInterval until the instance stops.
func (i *Instance) pollInstanceList() {
	for i.ctx.Err() == nil {
		list, err := i.platform.Instances()
		if err != nil {
			event.InstanceListUnavailable.Log(&i.log).Err(err).Send()
		} else {
			entries := make([]member.ListEntry, len(list))
			for n, e := range list {
				entries[n] = member.ListEntry{ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Leaving: e.Leaving()}
			}
			i.membersMu.Lock()
			i.members.ApplyList(i.cfg.Now(), entries)
			i.membersMu.Unlock()
		}
		i.sleep(i.cfg.PlatformPollInterval)
	}
}

// runHeartbeats sends heartbeats, which also probe suspected instances, until the instance stops.
func (i *Instance) runHeartbeats() {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		i.sendHeartbeats(r)
		select {
		case <-i.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// sendHeartbeats starts one round of heartbeats; each answer is processed when it arrives.
func (i *Instance) sendHeartbeats(r *rand.Rand) {
	now := i.cfg.Now()
	rev, _ := i.revision()
	refs := i.homeRefs()
	i.membersMu.Lock()
	i.members.SetSelf(now, i.draining.Load(), rev)
	h := i.newHeartbeat(now, refs)
	receivers := i.members.NextReceivers(r, heartbeatFanOut)
	suspects := i.members.Suspected(now)
	i.membersMu.Unlock()
	to := map[string]string{}
	for _, m := range append(receivers, suspects...) {
		to[m.Address] = m.Incarnation
	}
	for _, ref := range refs {
		if ref.Home != i.cfg.Incarnation {
			to[ref.Address] = ref.Home
		}
	}
	delete(to, i.PeerAddress())
	for addr, incarnation := range to {
		i.wg.Go(func() { i.exchangeHeartbeat(addr, incarnation, h) })
	}
}

// exchangeHeartbeat sends a heartbeat to a peer, processes the answer, and records the result as a probe of the
// incarnation if that is known.
func (i *Instance) exchangeHeartbeat(addr, incarnation string, h peer.Heartbeat) {
	answer, err := i.peers.Heartbeat(addr, h)
	if err == nil {
		i.recordContact()
		i.handleHeartbeat(answer)
	}
	if incarnation == "" {
		return
	}
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	i.members.ApplyProbe(i.cfg.Now(), incarnation, err == nil && answer.From.Incarnation == incarnation)
}

// newHeartbeat returns the next heartbeat of this instance; it must be called with membersMu held.
func (i *Instance) newHeartbeat(now time.Time, refs map[string]peer.HomeRef) peer.Heartbeat {
	h := peer.Heartbeat{
		Proto: peer.CurrentProto(), From: i.members.NextOwnEntry(now), Members: i.members.NextEntries(now, heartbeatMembers), Marks: i.marks.List(),
		Homes: refs,
	}
	h.Revision, h.Digest = i.revision()
	return h
}

// heartbeatAnswer returns the answer to a heartbeat. It does not increment the heartbeat counter of this instance.
func (i *Instance) heartbeatAnswer(now time.Time) peer.Heartbeat {
	// Lock order: home.mu before membersMu, so the homes are read first.
	h := peer.Heartbeat{Proto: peer.CurrentProto(), Marks: i.marks.List(), Homes: i.homeRefs()}
	i.membersMu.Lock()
	h.From = i.members.Dump(now).Self
	i.membersMu.Unlock()
	h.Revision, h.Digest = i.revision()
	return h
}

// homeRefs returns the known homes by pool name.
func (i *Instance) homeRefs() map[string]peer.HomeRef {
	refs := map[string]peer.HomeRef{}
	for name, hm := range *i.homes.Load() {
		if ref, ok := hm.homeRef(); ok {
			refs[name] = peer.HomeRef{Epoch: ref.Epoch, Home: ref.Home, Address: ref.Address}
		}
	}
	return refs
}

// handleHeartbeat processes the heartbeat of another instance and adopts its configuration if that is newer.
func (i *Instance) handleHeartbeat(h peer.Heartbeat) {
	now := i.cfg.Now()
	i.membersMu.Lock()
	i.members.ApplyEntry(now, h.From)
	for _, m := range h.Members {
		i.members.ApplyEntry(now, m)
	}
	i.membersMu.Unlock()
	i.marks.Merge(h.Marks)
	for name, ref := range h.Homes {
		if hm := (*i.homes.Load())[name]; hm != nil {
			hm.observeHome(now, tenure.HomeRef{Epoch: ref.Epoch, Home: ref.Home, Address: ref.Address})
		}
	}
	if cur, _ := i.revision(); h.Revision > cur && h.From.Address != "" {
		i.adoptRevision(h.Revision, h.Digest, h.From.Address)
	}
}

// revision returns the number and the digest of the current configuration, zero values before the first one.
func (i *Instance) revision() (uint64, string) {
	c := i.holder.Current()
	if c == nil {
		return 0, ""
	}
	return c.Revision, c.Digest
}

// tenureView returns the view of the region's instances, and of the candidates of the pool's home record, that a step
// of the tenure needs.
func (i *Instance) tenureView(now time.Time, pool string, candidates []tenure.Candidate) tenure.View {
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	v := tenure.View{Suspected: map[string]bool{}, Leaving: map[string]bool{}}
	for _, m := range i.members.Preferred(now, pool) {
		v.Preferred = append(v.Preferred, tenure.Candidate{ID: m.Incarnation, Address: m.Address})
	}
	dump := i.members.Dump(now)
	if len(dump.Listed) > 0 {
		v.Listed = map[string]bool{i.cfg.Incarnation: i.members.MayExist(now, i.cfg.Incarnation)}
	}
	for _, line := range dump.Members {
		if line.Listed && v.Listed != nil {
			v.Listed[line.Incarnation] = true
		}
		if line.State != member.Alive {
			v.Suspected[line.Incarnation] = true
		}
		if line.Leaving {
			v.Leaving[line.Incarnation] = true
		}
	}
	for _, c := range candidates {
		if v.Listed != nil && i.members.MayExist(now, c.ID) {
			v.Listed[c.ID] = true
		}
	}
	return v
}

// isFailed reports whether the member table considers the incarnation failed.
func (i *Instance) isFailed(now time.Time, incarnation string) bool {
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	return i.members.State(now, incarnation) == member.Failed
}
