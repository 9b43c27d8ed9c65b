package tenure

import "time"

// Tenure is one instance's view of who is home of one pool.
type Tenure struct {
	cfg    Config
	seen   uint64  // Highest epoch learned from anyone.
	unread int     // Reads until one that was sent after seen was raised has answered.
	hint   HomeRef // As announced by peers.
	known  bool    // Whether the store was read at all.
	exists bool
	rec    Record
	mod    int64
	learnt time.Time // When rec was last read or written; the start of that call.

	store    store
	promise  promise
	presence presence

	confirmed time.Time            // Start of the last read or swap that showed the own epoch.
	consents  map[string]time.Time // By incarnation, the start of the last round that it consented to.
	asked     time.Time            // Start of the last round.
	held      time.Time            // Last Step at which the right held.
	broken    bool                 // Regained by consent after a long lapse.
	grantFrom time.Time            // Earlier rights are void from then on.

	staticFrom  time.Time // Static share may be granted from then on; zero without unanimity.
	staticUntil time.Time // Until then, permits of the static share may be started.
	differs     time.Time // Since when the record's candidates differ from the view.

	closed   bool
	closedAt time.Time
}

// New returns a Tenure that knows no record yet.
func New(cfg Config) *Tenure {
	return &Tenure{
		cfg:      cfg.withDefaults(),
		consents: map[string]time.Time{},
		presence: presence{absent: map[string]time.Time{}, waived: map[string]bool{}, leftAt: map[string]time.Time{}},
	}
}

// Record returns the last record learned, and false when none exists.
func (t *Tenure) Record() (Record, bool) { return t.rec, t.exists }

// HomeRef returns the home to which asks go, and false when none is known.
func (t *Tenure) HomeRef() (HomeRef, bool) {
	if !t.exists || t.rec.Released {
		return HomeRef{}, false
	}
	return HomeRef{Epoch: t.rec.Epoch, Home: t.rec.Home, Address: t.rec.Address}, true
}

// Holding tells whether the record names this instance as home, with or without a right to grant.
func (t *Tenure) Holding() bool {
	return t.exists && t.rec.Home == t.cfg.Self.ID && !t.rec.Released
}

// SeenEpoch takes an epoch that a peer announced; a higher one than that of the own record ends the right to grant.
func (t *Tenure) SeenEpoch(_ time.Time, epoch uint64) { t.raise(epoch) }

// SeenHome takes the home of an epoch that a peer announced.
func (t *Tenure) SeenHome(now time.Time, ref HomeRef) {
	t.SeenEpoch(now, ref.Epoch)
	if ref.Epoch > t.hint.Epoch {
		t.hint = ref
	}
}

// Fence tells whether a permit or message of the epoch is current, and remembers the highest epoch.
func (t *Tenure) Fence(epoch uint64) bool {
	t.raise(epoch)
	return epoch == t.seen
}

func (t *Tenure) raise(epoch uint64) {
	if epoch <= t.seen {
		return
	}
	t.seen = epoch
	t.unread = 1
	if t.store.reading {
		t.unread = 2 // The read on its way may have been sent before the record changed.
	}
}

// superseded tells whether a higher epoch than that of the known record was announced.
func (t *Tenure) superseded() bool { return t.seen > t.rec.Epoch }

// behind tells whether the record may have changed since it was read. When a later read shows a lower epoch than was
// announced, the store has lost the key's history, and the epochs go on above the highest one.
func (t *Tenure) behind() bool { return t.superseded() && t.unread > 0 }

// Step returns what the caller has to do now.
func (t *Tenure) Step(now time.Time, v View) []Action {
	t.notice(now, v)
	t.hold(now)
	if s := &t.store; s.pending != nil && !s.unsettled && now.Sub(s.sentAt) >= callTimeout*t.cfg.GrantRight {
		t.SwapLost(now)
	}
	var actions []Action
	if t.readDue(now, v) {
		t.store.reading = true
		t.store.readAt = now
		actions = append(actions, Action{Kind: Read})
	}
	switch {
	case t.closed:
	case t.Holding():
		actions = append(actions, t.stepHome(now, v)...)
	default:
		actions = append(actions, t.stepFollower(now, v)...)
	}
	return actions
}

func (t *Tenure) stepHome(now time.Time, v View) []Action {
	if t.slow(now) && t.askDue(now) {
		return t.ask(now)
	}
	return t.updateCandidates(now, v)
}

func (t *Tenure) stepFollower(now time.Time, v View) []Action {
	if t.takeoverDue(now, v) {
		return t.swap(t.successor(now, v))
	}
	return t.stepStatic(now)
}
