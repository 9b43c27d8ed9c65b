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
	beatInterval = 500 * time.Millisecond
	beatFanOut   = 2  // Random receivers of each heartbeat, besides the homes in use.
	beatNews     = 16 // Members in each heartbeat.
)

// followPlatform reads the platform's list of instances.
func (i *Instance) followPlatform() {
	for i.ctx.Err() == nil {
		list, err := i.platform.Instances()
		if err != nil {
			event.InstanceListUnavailable.Log(&i.log).Err(err).Send()
		} else {
			entries := make([]member.Entry, len(list))
			for n, e := range list {
				entries[n] = member.Entry{ID: e.ID, Address: e.Address, DataCentre: e.DataCentre, Leaving: e.Leaving()}
			}
			i.membersMu.Lock()
			i.members.Listed(i.cfg.Now(), entries)
			i.membersMu.Unlock()
		}
		i.sleep(i.cfg.PlatformPoll)
	}
}

// beat sends heartbeats and probes suspected instances.
func (i *Instance) beat() {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	tick := time.NewTicker(beatInterval)
	defer tick.Stop()
	for {
		i.beatOnce(r)
		select {
		case <-i.ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// beatOnce sends one round of heartbeats; answers are taken in as they come.
func (i *Instance) beatOnce(r *rand.Rand) {
	now := i.cfg.Now()
	rev, _ := i.revision()
	refs := i.homeRefs()
	i.membersMu.Lock()
	i.members.SetSelf(now, i.draining.Load(), rev)
	h := i.heartbeat(now, refs)
	receivers := i.members.Spread(r, beatFanOut)
	suspects := i.members.Suspect(now)
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
		i.wg.Go(func() { i.beatTo(addr, incarnation, h) })
	}
}

// beatTo exchanges heartbeats with one peer.
func (i *Instance) beatTo(addr, incarnation string, h peer.Heartbeat) {
	answer, err := i.peers.Heartbeat(addr, h)
	if err == nil {
		i.reached()
		i.hear(answer)
	}
	if incarnation == "" {
		return
	}
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	i.members.Probed(i.cfg.Now(), incarnation, err == nil && answer.From.Incarnation == incarnation)
}

// heartbeat describes this instance; it must be called with membersMu held.
func (i *Instance) heartbeat(now time.Time, refs map[string]peer.HomeRef) peer.Heartbeat {
	h := peer.Heartbeat{
		Proto: peer.Current(), From: i.members.Beat(now), Members: i.members.Delta(now, beatNews), Marks: i.marks.List(),
		Homes: refs,
	}
	h.Revision, h.Digest = i.revision()
	return h
}

// reply answers a heartbeat; the own counter does not rise by it.
func (i *Instance) reply(now time.Time) peer.Heartbeat {
	// The homes are read first: their locks are taken before that of the members, never after it.
	h := peer.Heartbeat{Proto: peer.Current(), Marks: i.marks.List(), Homes: i.homeRefs()}
	i.membersMu.Lock()
	h.From = i.members.Dump(now).Self
	i.membersMu.Unlock()
	h.Revision, h.Digest = i.revision()
	return h
}

// homeRefs returns the homes that this instance knows.
func (i *Instance) homeRefs() map[string]peer.HomeRef {
	refs := map[string]peer.HomeRef{}
	for name, hm := range *i.homes.Load() {
		if ref, ok := hm.ref(); ok {
			refs[name] = peer.HomeRef{Epoch: ref.Epoch, Home: ref.Home, Address: ref.Address}
		}
	}
	return refs
}

// hear takes in the heartbeat of another instance.
func (i *Instance) hear(h peer.Heartbeat) {
	now := i.cfg.Now()
	i.membersMu.Lock()
	i.members.Heard(now, h.From)
	for _, m := range h.Members {
		i.members.Heard(now, m)
	}
	i.membersMu.Unlock()
	i.marks.Merge(h.Marks)
	for name, ref := range h.Homes {
		if hm := (*i.homes.Load())[name]; hm != nil {
			hm.seen(now, tenure.HomeRef{Epoch: ref.Epoch, Home: ref.Home, Address: ref.Address})
		}
	}
	if cur, _ := i.revision(); h.Revision > cur && h.From.Address != "" {
		i.adopt(h.Revision, h.Digest, h.From.Address)
	}
}

// revision returns the number and the digest of the configuration in force, zero values before the first.
func (i *Instance) revision() (uint64, string) {
	c := i.holder.Current()
	if c == nil {
		return 0, ""
	}
	return c.Revision, c.Digest
}

// view describes the region's instances for the tenure of a pool, and the candidates of its record.
func (i *Instance) view(now time.Time, pool string, candidates []tenure.Candidate) tenure.View {
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	v := tenure.View{Suspected: map[string]bool{}, Leaving: map[string]bool{}}
	for _, m := range i.members.Preferred(now, pool) {
		v.Preferred = append(v.Preferred, tenure.Candidate{ID: m.Incarnation, Address: m.Address})
	}
	dump := i.members.Dump(now)
	if len(dump.Listed) > 0 {
		v.Listed = map[string]bool{i.cfg.Incarnation: i.members.IsListed(now, i.cfg.Incarnation)}
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
		if v.Listed != nil && i.members.IsListed(now, c.ID) {
			v.Listed[c.ID] = true
		}
	}
	return v
}

// failed reports whether the incarnation counts as failed.
func (i *Instance) failed(now time.Time, incarnation string) bool {
	i.membersMu.Lock()
	defer i.membersMu.Unlock()
	return i.members.State(now, incarnation) == member.Failed
}
