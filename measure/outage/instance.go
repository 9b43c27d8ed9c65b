package outage

import (
	"time"

	"github.com/mustardseam/mustardseam/measure/site"
	"github.com/mustardseam/mustardseam/mustardseam/claim"
	"github.com/mustardseam/mustardseam/mustardseam/pool"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/mustardseam/tenure"
)

// Keys of the store.
const (
	homeKey   = "homes/doto/services"
	claimsKey = "claims/doto/services/"
)

// instance is an entry instance, which may be home.
type instance struct {
	w      *World
	id     string
	self   tenure.Candidate
	dead   bool
	diedAt time.Duration

	tenure  *tenure.Tenure
	config  revision.Holder
	marks   rollout.RollbackMarks
	lastRev uint64

	journal *claim.Journal // Of the present takeover; nil when not home.
	epoch   uint64         // Of the journal.
	pool    *pool.Pool     // Nil while there is no right to grant.
	share   int
	asked   map[string]bool   // Asks in the pool.
	permits map[string]permit // Not fetched yet.
}

// permit waits at the home until it is fetched.
type permit struct {
	pool.Permit
	at time.Duration
}

func newInstance(w *World, id, address string) *instance {
	self := tenure.Candidate{ID: id, Address: address}
	return &instance{
		w: w, id: id, self: self, tenure: tenure.New(tenure.Config{Self: self, Pool: site.Services}),
		asked: map[string]bool{}, permits: map[string]permit{},
	}
}

// run starts the periodic work of the instance; the offsets differ from instance to instance.
func (i *instance) run() {
	w := i.w
	every := func(d time.Duration, f func()) {
		w.Clock.Every(time.Duration(w.rnd.Int64N(int64(d))), d, func() bool {
			if !i.dead {
				f()
			}
			return !i.dead
		})
	}
	every(100*time.Millisecond, i.step)
	every(10*time.Millisecond, i.drive)
	every(heartbeat, i.beat)
}

// view is what the instance knows of the others: a failed one is suspected, and later leaves the platform's list.
func (i *instance) view() tenure.View {
	v := tenure.View{Listed: map[string]bool{}, Suspected: map[string]bool{}, Leaving: map[string]bool{}}
	for _, o := range i.w.instances {
		since := i.w.Clock.Since() - o.diedAt
		v.Listed[o.id] = !o.dead || since < listLag
		v.Suspected[o.id] = o.dead && since > suspicion
		if !v.Suspected[o.id] {
			v.Preferred = append(v.Preferred, o.self)
		}
	}
	return v
}

// step carries out what the tenure wants.
func (i *instance) step() {
	w, t := i.w, i.tenure
	for _, a := range t.Step(w.Clock.Now(), i.view()) {
		started := w.Clock.Now()
		switch a.Kind {
		case tenure.Read:
			w.store.call(false, func() func() {
				it, ok := w.store.keys[homeKey]
				rec, _ := it.value.(tenure.Record)
				return func() { t.ReadDone(w.Clock.Now(), started, rec, it.mod, ok) }
			}, func() { t.ReadFailed(w.Clock.Now()) })
		case tenure.Swap:
			w.store.call(true, func() func() {
				mod, ok := w.store.swap(homeKey, a.Record, a.ExpectedMod)
				if !ok {
					return func() { t.SwapConflict(w.Clock.Now()) }
				}
				return func() { t.SwapDone(w.Clock.Now(), started, a.Record, mod) }
			}, func() { t.SwapLost(w.Clock.Now()) })
		case tenure.Ask:
			i.consents(a, started)
		}
	}
	i.hold()
}

// consents asks the other candidates.
func (i *instance) consents(a tenure.Action, started time.Time) {
	w := i.w
	for _, c := range a.To {
		w.Clock.After(between, func() {
			o := w.byID(c.ID)
			if o == nil {
				return
			}
			given, epoch := o.tenure.Consent(w.Clock.Now(), i.id, a.Epoch, a.ConsentDuration)
			w.Clock.After(between, func() {
				if given {
					i.tenure.ConsentGiven(w.Clock.Now(), started, c.ID)
				} else {
					i.tenure.ConsentDenied(w.Clock.Now(), c.ID, epoch)
				}
			})
		})
	}
}

// hold sets up or drops the journal and the pool as the tenure says.
func (i *instance) hold() {
	now := i.w.Clock.Now()
	rec, _ := i.tenure.Record()
	switch {
	case !i.tenure.NamedHome():
		i.journal = nil
	case i.journal == nil:
		i.load(rec.Epoch)
	default:
		i.epoch = rec.Epoch
		i.journal.SetEpoch(rec.Epoch)
	}
	if !i.tenure.MayGrant(now) {
		i.pool = nil
		clear(i.asked)
		clear(i.permits)
		return
	}
	if share := i.tenure.ShareDivisor(now); i.pool == nil || share != i.share {
		i.share = share
		i.pool = pool.New(pool.ConfigFor(i.w.cfg.Site.Document, site.Services, i.w.cfg.Site.Region, i.w.cfg.Seed))
		i.pool.Baseline(i.tenure.BaselineAfter())
		i.pool.SetInstances(share)
		clear(i.asked)
	}
	i.pool.SetEpoch(rec.Epoch)
}

// beat sends a heartbeat to two random instances: the configuration, the marks and the epoch.
func (i *instance) beat() {
	w := i.w
	cfg, marks := i.config.Current(), i.marks.List()
	home, known := i.tenure.HomeRef()
	for range 2 {
		o := w.anyone()
		w.Clock.After(between, func() {
			o.apply(cfg)
			o.marks.Merge(marks)
			w.Marks.note(w.Clock.Since(), o.id, o.marks.Has(mark))
			w.Marks.settle(w.instances)
			if known {
				o.tenure.ObserveEpoch(w.Clock.Now(), home.Epoch)
			}
		})
	}
}
