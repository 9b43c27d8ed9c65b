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

// Store keys.
const (
	homeKey   = "homes/doto/services"
	claimsKey = "claims/doto/services/"
)

// instance is an entry instance, which may also be the home.
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

	journal      *claim.Journal // Journal of the current takeover; nil when this instance is not home.
	epoch        uint64         // Epoch of the journal.
	pool         *pool.Pool     // Nil while the instance may not grant permits.
	shareDivisor int
	asked        map[string]bool   // Set of the ask IDs in the pool.
	permits      map[string]permit // Granted permits that have not been fetched, by ask ID.
}

// permit is a granted permit that is held at the home until it is fetched.
type permit struct {
	pool.Permit
	grantedAt time.Duration
}

func newInstance(w *World, id, address string) *instance {
	self := tenure.Candidate{ID: id, Address: address}
	return &instance{
		w: w, id: id, self: self, tenure: tenure.New(tenure.Config{Self: self, Pool: site.Services}),
		asked: map[string]bool{}, permits: map[string]permit{},
	}
}

// run starts the periodic work of the instance, each task at a random offset.
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
	every(100*time.Millisecond, i.stepTenure)
	every(10*time.Millisecond, i.driveJournal)
	every(heartbeatInterval, i.sendHeartbeat)
}

// membership returns the instance's view of the region. A failed instance is suspected after suspicionTimeout and leaves
// the platform's list after platformListDelay.
func (i *instance) membership() tenure.View {
	v := tenure.View{Listed: map[string]bool{}, Suspected: map[string]bool{}, Leaving: map[string]bool{}}
	for _, o := range i.w.instances {
		since := i.w.Clock.Since() - o.diedAt
		v.Listed[o.id] = !o.dead || since < platformListDelay
		v.Suspected[o.id] = o.dead && since > suspicionTimeout
		if !v.Suspected[o.id] {
			v.Preferred = append(v.Preferred, o.self)
		}
	}
	return v
}

// stepTenure executes the actions that the tenure requests.
func (i *instance) stepTenure() {
	w, t := i.w, i.tenure
	for _, a := range t.Step(w.Clock.Now(), i.membership()) {
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
			i.requestConsents(a, started)
		}
	}
	i.updateHomeState()
}

// requestConsents asks the other candidates for their consent.
func (i *instance) requestConsents(a tenure.Action, started time.Time) {
	w := i.w
	for _, c := range a.To {
		w.Clock.After(instanceDelay, func() {
			o := w.byID(c.ID)
			if o == nil {
				return
			}
			given, epoch := o.tenure.Consent(w.Clock.Now(), i.id, a.Epoch, a.ConsentDuration)
			w.Clock.After(instanceDelay, func() {
				if given {
					i.tenure.ConsentGiven(w.Clock.Now(), started, c.ID)
				} else {
					i.tenure.ConsentDenied(w.Clock.Now(), c.ID, epoch)
				}
			})
		})
	}
}

// updateHomeState creates or drops the journal and the pool according to the state of the tenure.
func (i *instance) updateHomeState() {
	now := i.w.Clock.Now()
	rec, _ := i.tenure.Record()
	switch {
	case !i.tenure.NamedHome():
		i.journal = nil
	case i.journal == nil:
		i.loadJournal(rec.Epoch)
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
	if share := i.tenure.ShareDivisor(now); i.pool == nil || share != i.shareDivisor {
		i.shareDivisor = share
		i.pool = pool.New(pool.ConfigFor(i.w.cfg.Site.Document, site.Services, i.w.cfg.Site.Region, i.w.cfg.Seed))
		i.pool.AwaitFreshReports(i.tenure.BaselineAfter())
		i.pool.SetInstances(share)
		clear(i.asked)
	}
	i.pool.SetEpoch(rec.Epoch)
}

// sendHeartbeat sends a heartbeat with the configuration, the rollback marks and the epoch to two random instances.
func (i *instance) sendHeartbeat() {
	w := i.w
	cfg, marks := i.config.Current(), i.marks.List()
	home, known := i.tenure.HomeRef()
	for range 2 {
		o := w.randomInstance()
		w.Clock.After(instanceDelay, func() {
			o.applyConfig(cfg)
			o.marks.Merge(marks)
			w.Marks.record(w.Clock.Since(), o.id, o.marks.Has(rollbackMark))
			w.Marks.completeIfReceived(w.instances)
			if known {
				o.tenure.ObserveEpoch(w.Clock.Now(), home.Epoch)
			}
		})
	}
}
