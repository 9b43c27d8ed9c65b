package entry

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

const (
	// unreachableTimeout is how long the reports of other instances that a backend server is unreachable are used.
	unreachableTimeout = 400 * time.Millisecond
	// interTokenEvery is the number of reports between two answers of the hub that include all inter-token latencies, which
	// change slowly.
	interTokenEvery = 16
	// loadsInterval is how often the hub sends the loads to an instance for which it places requests. The instance needs them
	// only when the hub is lost; the interval is shorter than loadsTimeout.
	loadsInterval = loadsTimeout / 2
	// catchUpItems bounds the store items that an instance sends to a hub with an older copy of the store.
	catchUpItems = 64
)

// report sends a report to the hub and applies its answer.
func (r *reporter) report(target fleet.Instance) {
	own, interTokenMS, used := r.i.scheduler.takeReport()
	placed := r.i.placementClient.isPlacedBy(target.Name)
	if placed {
		own = nil // The hub knows the loads from placement updates.
	}
	r.mu.Lock()
	for team, u := range used {
		r.pendingUsage[team] = r.pendingUsage[team].Plus(u)
	}
	r.aggregator.AddUsage(used)
	r.sequence++
	at := r.i.follower.Position()
	report := hub.Report{
		Instance: r.i.cfg.Name, Registration: r.i.registration(), Run: r.i.runID, Sequence: r.sequence,
		Revision: at.Revision, Era: at.Era,
		Demand: r.i.demand.snapshot(),
		AgeMS:  r.i.storeAge(), Used: r.pendingUsage, Loads: own, InterTokenMS: interTokenMS, Samples: r.samples,
		Unreachable: r.i.scheduler.unreachableServers(time.Now()), Stopping: r.i.stopping.Load() != nil,
		RequestsKnown: placed, Leaving: r.i.leavingServers(), UsageUnknown: !r.i.scheduler.quotasSettled(time.Now()),
	}
	report.Limits, report.LimitRound = r.i.scheduler.limitsToRelay(time.Now())
	if r.hubUsageUnknown && target.Name == r.hubName {
		report.Levels = r.i.scheduler.quotaLevels(time.Now())
	}
	if target.Name == r.hubName && r.hubPosition.Revision > 0 && at.Compare(r.hubPosition) > 0 {
		r.addCatchUp(&report, at)
	}
	r.pendingUsage, r.samples = map[string]ratelimit.Usage{}, nil
	if r.crashSync.hub != target.Name {
		r.crashSync = crashSync{hub: target.Name}
	}
	var crashesUpTo int64
	report.Crashes, crashesUpTo = r.i.quarantine.Since(time.Now(), r.crashSync.sent)
	report.CrashRun, report.CrashSequence = r.crashSync.run, r.crashSync.known
	r.mu.Unlock()
	windowsUpTo, sent := r.i.duties.addToReport(&report, target)
	response, err := r.client.Report(target.Address, report)
	if err != nil {
		r.reportFailed(target, report, err)
		return
	}
	r.syncCrashes(target, response, crashesUpTo)
	r.i.duties.applyResponse(target, response, windowsUpTo, sent)
	r.applyResponse(target, report, response)
}

// addCatchUp adds the changes of the store that the hub lacks to a report, which is made at a position of the store; mu must be
// held. A hub in an earlier era that does not reach the store needs all items, which one of the instances sends at a time.
func (r *reporter) addCatchUp(report *hub.Report, at store.Position) {
	known := r.hubPosition
	if known.Era == 0 {
		known.Era = at.Era
	}
	if known.Era != at.Era && (r.hubStoreAge < maxRelayedStoreAge || rand.IntN(max(1, r.instanceCount)) > 0) {
		return
	}
	items, whole, upTo := r.i.follower.After(known)
	if upTo == at && (known.Era != at.Era || !whole && len(items) <= catchUpItems) {
		report.Items, report.Complete = items, whole
	}
}

// syncCrashes merges the crashes in a hub's response to a report that held the own ones up to a number of changes.
func (r *reporter) syncCrashes(target fleet.Instance, response hub.ReportResponse, sent int64) {
	r.i.quarantine.Merge(time.Now(), response.Crashes)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashSync.run != 0 && r.crashSync.run != response.Run {
		sent = 0 // The hub has started again and lacks what was sent before.
	}
	r.crashSync = crashSync{hub: target.Name, run: response.Run, sent: sent, known: response.CrashSequence}
}

// reportFailed queues the contents of an unanswered report again and marks the hub as failed.
func (r *reporter) reportFailed(target fleet.Instance, report hub.Report, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.hubFailures[target.Name] = now
	r.partition = r.partition.afterFailure(now, err, r.instanceCount)
	for team, u := range report.Used {
		r.pendingUsage[team] = r.pendingUsage[team].Plus(u)
	}
	r.queueSamples(report.Samples...)
	if r.hubName == target.Name {
		r.hubName = ""
	}
	event.HubLost.Log(r.i.log()).Str("hub", target.Name).Err(err).Send()
}

// applyResponse applies the hub's answer to a report.
func (r *reporter) applyResponse(target fleet.Instance, report hub.Report, response hub.ReportResponse) {
	now := time.Now()
	age := time.Duration(response.AgeMS) * time.Millisecond
	r.i.markLeaving(response.Leaving...)
	r.i.applyRelayedLimits(response.Hub, response.LimitRound, response.Limits)
	if response.AgeMS >= 0 {
		r.i.follower.ApplyRelayed(response.Items, response.Complete, store.Position{Era: response.Era, Revision: response.From},
			store.Position{Era: response.Era, Revision: response.Revision}, age)
	}
	r.mu.Lock()
	used := map[string]ratelimit.Usage{}
	if r.hubRunID == response.Run {
		for team, total := range response.Usage {
			used[team] = total.Minus(r.hubUsage[team].Plus(report.Used[team]))
		}
	}
	if r.hubName != response.Hub {
		event.HubChosen.Log(r.i.log()).Str("hub", response.Hub).Send()
	}
	r.hubName, r.hubRunID, r.hubUsage = target.Name, response.Run, response.Usage
	r.hubDemand = response.Demand
	r.hubPosition = store.Position{Era: response.Era, Revision: response.Revision}
	r.lastHubReply, r.hubStoreAge = now, time.Duration(response.DirectMS)*time.Millisecond
	if response.DirectMS < 0 {
		r.hubStoreAge = time.Hour
	}
	r.instanceCount, r.partition = len(response.Instances), partition{}
	r.aggregator.AddUsage(used)
	r.hubUsageUnknown = response.UsageUnknown
	r.mu.Unlock()
	r.adoptQuotaLevels(now, response.Levels)
	others, err := decodeLoads(response)
	if err != nil {
		event.HubLost.Log(r.i.log()).Str("hub", target.Name).Err(err).Send()
		return
	}
	r.i.scheduler.applyClusterState(now, clusterState{
		loads: others, interTokenMS: response.InterTokenMS, instances: response.Instances,
		possibleInstances: len(response.Instances), servingInstances: response.Possible, quotaUsage: used,
		unreachable: response.Unreachable, unreachableUntil: now.Add(unreachableTimeout),
	})
}

// adoptQuotaLevels takes over the quota levels of another instance if this one does not know them.
func (r *reporter) adoptQuotaLevels(now time.Time, levels map[string]float64) {
	if levels != nil && !r.i.scheduler.quotasSettled(now) {
		r.i.scheduler.adoptQuotaLevels(now, levels)
	}
}

// decodeLoads returns the loads from the other instances, or nil when the hub omitted them.
func decodeLoads(response hub.ReportResponse) (map[string]placement.Load, error) {
	if len(response.Loads) == 0 {
		return nil, nil
	}
	others := map[string]placement.Load{}
	if err := json.Unmarshal(response.Loads, &others); err != nil {
		return nil, eris.Wrap(err, "decode loads")
	}
	for id, own := range response.ReporterLoads {
		if l, ok := others[id]; ok {
			others[id] = l.Minus(own)
		}
	}
	return others, nil
}

// handleReport applies the report of another instance and returns the answer of the hub.
func (r *reporter) handleReport(report hub.Report) hub.ReportResponse {
	now := time.Now()
	r.i.learnInstance(report.Registration)
	r.i.markLeaving(report.Leaving...)
	r.i.applyRelayedLimits(report.Instance, report.LimitRound, report.Limits)
	r.i.quarantine.Merge(now, report.Crashes)
	r.mu.Lock()
	used := r.aggregator.Add(now, report)
	hasNoHub := r.hubName == ""
	if !hasNoHub {
		for team, u := range used {
			r.pendingUsage[team] = r.pendingUsage[team].Plus(u)
		}
		r.queueSamples(report.Samples...)
	}
	sum, err := r.aggregator.Sum(now, r.localLoads)
	if err != nil {
		event.HubLost.Log(r.i.log()).Str("hub", r.i.cfg.Name).Err(err).Send()
	}
	response := hub.ReportResponse{
		Hub: r.i.cfg.Name, Run: r.i.runID, Instances: r.aggregator.ActiveInstances(now), Usage: r.aggregator.Usage(),
		Demand: r.aggregator.Demand(now), Unreachable: sum.Unreachable, From: report.Revision, Leaving: r.i.leavingServers(),
	}
	if serving := r.servingInstances(now, len(response.Instances)); serving > len(response.Instances) {
		response.Possible = serving
	}
	response.Limits, response.LimitRound = r.i.scheduler.limitsToRelay(now)
	var crashesKnown int64
	if report.CrashRun == r.i.runID {
		crashesKnown = report.CrashSequence
	}
	response.Crashes, response.CrashSequence = r.i.quarantine.Since(now, crashesKnown)
	every := max(1, int64(loadsInterval/hub.ReportInterval(len(response.Instances), r.i.cfg.Cores)))
	if !report.RequestsKnown || report.Sequence%every == 0 {
		response.Loads, response.ReporterLoads = sum.JSON, sum.ByInstance[report.Instance]
	}
	if report.Sequence%interTokenEvery == 1 {
		response.InterTokenMS = r.aggregator.InterTokenMS()
	}
	r.mu.Unlock()
	if hasNoHub {
		r.i.rollouts.addSamples(report.Samples)
	}
	if !report.RequestsKnown {
		r.i.scheduler.removeClient(report.Instance)
	}
	r.i.scheduler.addQuotaUsage(now, used)
	if len(report.Items) > 0 && report.AgeMS >= 0 {
		at := r.i.follower.Position()
		r.i.follower.ApplyRelayed(
			report.Items, report.Complete, at, store.Position{Era: report.Era, Revision: report.Revision},
			time.Duration(report.AgeMS)*time.Millisecond,
		)
	}
	r.adoptQuotaLevels(now, report.Levels)
	response.UsageUnknown = !r.i.scheduler.quotasSettled(now)
	if report.UsageUnknown {
		response.Levels = r.i.scheduler.quotaLevels(now)
	}
	reported := store.Position{Era: report.Era, Revision: report.Revision}
	if reported.Era == 0 {
		reported.Era = r.i.follower.Position().Era
	}
	var upTo store.Position
	response.Items, response.Complete, upTo = r.i.follower.After(reported)
	response.Revision, response.Era = upTo.Revision, upTo.Era
	response.AgeMS, response.DirectMS = r.i.storeAge(), -1
	if age, ok := r.i.follower.SinceDirectResponse(now); ok {
		response.DirectMS = age.Milliseconds()
	}
	if response.AgeMS < 0 {
		response.Items, response.Complete = nil, false
	}
	r.i.duties.handleReport(report, &response)
	return response
}
