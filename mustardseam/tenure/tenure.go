package tenure

import "time"

// Tenure is one instance's view of which instance is home of one pool, and of its own right to grant.
type Tenure struct {
	cfg          Config
	highestEpoch uint64 // Highest epoch learned from the store or a peer.
	// readsUntilCurrent is the number of reads that must be answered until one of them was certainly sent after
	// highestEpoch was last raised.
	readsUntilCurrent int
	announcedHome     HomeRef   // Home of the highest epoch for which a peer announced one.
	recordRead        bool      // The store has answered at least once.
	recordExists      bool      // The store has a record.
	record            Record    // Last record read or written.
	modRevision       int64     // Mod revision of record.
	recordReadAt      time.Time // Start of the call that last read or wrote record.

	store         storeState
	givenConsents givenConsents
	presence      presence

	confirmedAt    time.Time            // Start of the last read or swap that showed this instance as home.
	consentedAt    map[string]time.Time // By incarnation: start of the last consent round in which it consented.
	roundStartedAt time.Time            // Start of the last consent round.
	rightHeldAt    time.Time            // Last Step at which the right held.
	// lapsedSinceConfirmed reports that the right was regained by consent after a long lapse, and that the store has
	// not confirmed it since.
	lapsedSinceConfirmed bool
	grantFrom            time.Time // Time from which no right of an earlier home is valid any more, so that this home may grant.

	staticFrom            time.Time // Time from which the static share may be granted; zero while not all candidates agree.
	staticPermitsUntil    time.Time // Time until which permits of the static share may be started.
	candidatesDifferSince time.Time // Since when the record's candidates differ from the view; zero while they agree.

	stopped   bool      // Stop was called.
	stoppedAt time.Time // When Stop was called.
}

// New returns a Tenure that has not read the record yet.
func New(cfg Config) *Tenure {
	return &Tenure{
		cfg:         cfg.withDefaults(),
		consentedAt: map[string]time.Time{},
		presence:    presence{absentSince: map[string]time.Time{}, consentFinal: map[string]bool{}, leavingSince: map[string]time.Time{}},
	}
}

// Record returns the last record learned, and false if none exists.
func (t *Tenure) Record() (Record, bool) { return t.record, t.recordExists }

// HomeRef returns the home to which asks are sent, and false if none is known.
func (t *Tenure) HomeRef() (HomeRef, bool) {
	if !t.recordExists || t.record.Released {
		return HomeRef{}, false
	}
	return HomeRef{Epoch: t.record.Epoch, Home: t.record.Home, Address: t.record.Address}, true
}

// NamedHome reports whether the record names this instance as home, with or without a right to grant.
func (t *Tenure) NamedHome() bool {
	return t.recordExists && t.record.Home == t.cfg.Self.ID && !t.record.Released
}

// ObserveEpoch records an epoch that a peer announced. An epoch higher than that of the own record ends the right to
// grant.
func (t *Tenure) ObserveEpoch(_ time.Time, epoch uint64) { t.raiseEpoch(epoch) }

// ObserveHome records the home of an epoch, as announced by a peer.
func (t *Tenure) ObserveHome(now time.Time, ref HomeRef) {
	t.ObserveEpoch(now, ref.Epoch)
	if ref.Epoch > t.announcedHome.Epoch {
		t.announcedHome = ref
	}
}

// CheckEpoch reports whether a permit or message of the epoch is current, and records the highest epoch.
func (t *Tenure) CheckEpoch(epoch uint64) bool {
	t.raiseEpoch(epoch)
	return epoch == t.highestEpoch
}

// raiseEpoch raises highestEpoch and the number of reads needed before the record can be trusted again.
func (t *Tenure) raiseEpoch(epoch uint64) {
	if epoch <= t.highestEpoch {
		return
	}
	t.highestEpoch = epoch
	t.readsUntilCurrent = 1
	if t.store.readInFlight {
		t.readsUntilCurrent = 2 // The read in flight may have been sent before the record changed.
	}
}

// superseded reports whether an epoch higher than that of the known record is known.
func (t *Tenure) superseded() bool { return t.highestEpoch > t.record.Epoch }

// recordMayBeStale reports whether the record may have changed since it was read. If a later read still shows a lower
// epoch than was announced, the store has lost the key's history, and the epochs continue above the highest known
// one.
func (t *Tenure) recordMayBeStale() bool { return t.superseded() && t.readsUntilCurrent > 0 }

// Step returns the actions that the caller must perform now.
func (t *Tenure) Step(now time.Time, v View) []Action {
	t.updatePresence(now, v)
	t.renewRight(now)
	if s := &t.store; s.pendingSwap != nil && !s.swapUnsettled && now.Sub(s.swapSentAt) >= callTimeoutRights*t.cfg.RightDuration {
		t.SwapLost(now)
	}
	var actions []Action
	if t.readDue(now, v) {
		t.store.readInFlight = true
		t.store.readSentAt = now
		actions = append(actions, Action{Kind: Read})
	}
	switch {
	case t.stopped:
	case t.NamedHome():
		actions = append(actions, t.stepHome(now, v)...)
	default:
		actions = append(actions, t.stepFollower(now, v)...)
	}
	return actions
}

func (t *Tenure) stepHome(now time.Time, v View) []Action {
	if t.storeSlow(now) && t.consentRoundDue(now) {
		return t.startConsentRound(now)
	}
	return t.refreshCandidates(now, v)
}

func (t *Tenure) stepFollower(now time.Time, v View) []Action {
	if t.takeoverDue(now, v) {
		return t.startSwap(t.nextRecord(now, v))
	}
	return t.stepStatic(now)
}
