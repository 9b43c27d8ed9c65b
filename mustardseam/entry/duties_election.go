package entry

import (
	"context"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/bootclock"
	"github.com/mustardseam/mustardseam/mustardseam/duty"
	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
)

const (
	// dutyRecord is the name of the record of the holder, who performs all duties.
	dutyRecord = "cloud"
	// acquireTimeout bounds a write of the record, and leaseEndTimeout the end of a lease.
	acquireTimeout  = time.Second
	leaseEndTimeout = time.Second
	// partitionDelay is how long an instance that hears of less than half of the instances leaves the record to others.
	// A loss of power of half of the instances looks the same, so it is kept short.
	partitionDelay = 400 * time.Millisecond
)

// observe returns what this instance knows of the record and of the other candidates.
func (d *duties) observe() duty.Observation {
	// The position is read first: an item may be newer than it, but not older.
	at := d.i.follower.Position()
	item, expect, saved := d.i.follower.Item(d.i.cfg.StoreCodec.DutyKey(dutyRecord))
	age, known := d.i.follower.SinceResponse(time.Now())
	o := duty.Observation{Era: at.Era, Revision: at.Revision, Current: known && age < maxRelayedStoreAge && expect.Era == at.Era}
	if item.Key != "" {
		o.RecordRevision, o.RecordOutdated = item.Revision, !saved || item.Era < at.Era
		r, err := duty.DecodeRecord(item.Value)
		if err != nil {
			r = duty.Record{}
			o.RecordOutdated = true // A record that cannot be read is replaced.
		}
		o.Record = &r
	}
	if o.Record == nil || o.RecordOutdated {
		o.Rank, o.Delay, o.Eligible = d.rank(time.Now())
	}
	return o
}

// rank returns the number of running instances that are better candidates than this one, and how much longer this one waits.
// It is not eligible before it is registered, nor during its stop.
func (d *duties) rank(now time.Time) (rank int, delay time.Duration, eligible bool) {
	if d.i.stopping.Load() != nil {
		return 0, 0, false
	}
	running := map[string]bool{}
	for _, name := range d.i.scheduler.runningInstances() {
		running[name] = true
	}
	d.i.reporter.mu.Lock()
	possible := d.i.reporter.partition.count(now)
	d.i.reporter.mu.Unlock()
	if possible > 2*len(running) {
		delay = partitionDelay
	}
	for _, candidate := range hub.RankCandidates(d.i.view.Load().Instances) {
		if candidate.Name == d.i.cfg.Name {
			return rank, delay, true
		}
		if running[candidate.Name] {
			rank++
		}
	}
	return 0, 0, false
}

// callStore makes a call of the election to the store.
func (d *duties) callStore(a duty.Action) {
	d.mu.Lock()
	d.storeCalls++
	d.mu.Unlock()
	d.i.tasks.Go(func() {
		defer func() {
			d.mu.Lock()
			d.storeCalls--
			d.mu.Unlock()
		}()
		d.i.recoverPanics("lease of the duties", func() { d.callStoreNow(a) })
	})
}

func (d *duties) callStoreNow(a duty.Action) {
	timeout := map[duty.ActionKind]time.Duration{
		duty.Grant: d.cfg.LeaseTTL / 2, duty.Acquire: acquireTimeout, duty.Renew: d.cfg.LeaseTTL / 2, duty.End: leaseEndTimeout,
	}[a.Kind]
	// A lease is ended also while the instance stops.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.i.ctx), timeout)
	defer cancel()
	sent := bootclock.Now()
	switch a.Kind {
	case duty.Grant:
		lease, at, err := d.cfg.LeaseStore.GrantLease(ctx, d.cfg.LeaseTTL)
		now := bootclock.Now()
		d.election.Granted(sent, now, lease, at.Era, d.clock.Now(now).UnixMilli(), err)
		d.logStoreError("grant a lease", err)
	case duty.Acquire:
		value, err := a.Record.Encode()
		if err != nil {
			d.logStoreError("acquire the duties", err)
			return
		}
		at, err := d.cfg.LeaseStore.PutLeased(ctx, d.i.cfg.StoreCodec.DutyKey(dutyRecord), value, a.Expect, a.Lease)
		d.election.Acquired(bootclock.Now(), a.Lease, at.Era, at.Revision, err)
		d.logStoreError("acquire the duties", err)
	case duty.Renew:
		at, err := d.cfg.LeaseStore.RenewLease(ctx, a.Lease)
		d.election.Renewed(sent, bootclock.Now(), a.Lease, at.Era, err)
		d.logStoreError("renew the lease of the duties", err)
	case duty.End:
		d.logStoreError("end the lease of the duties", d.cfg.LeaseStore.EndLease(ctx, a.Lease))
	}
}

// logStoreError logs the failure of a call to the store.
func (d *duties) logStoreError(operation string, err error) {
	if err != nil {
		event.DutyStoreCallFailed.Log(d.i.log()).Str("operation", operation).Err(err).Send()
	}
}
