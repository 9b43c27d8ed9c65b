package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/event"
	"github.com/mustardseam/mustardseam/mustardseam/fleet"
	"github.com/mustardseam/mustardseam/mustardseam/hub"
	"github.com/mustardseam/mustardseam/mustardseam/placement"
	"github.com/mustardseam/mustardseam/mustardseam/ratelimit"
	"github.com/mustardseam/mustardseam/mustardseam/store"
)

const (
	// maxRelayedStoreAge bounds how long ago the store must have answered the hub for the changes it relays to count as current.
	// The hub's long polls end after 1.5 s, so a longer time means that the hub does not reach the store. Changes that the hub
	// received from other instances do not count: two instances could rely on each other.
	maxRelayedStoreAge = store.LongPollWait + 500*time.Millisecond
	// hubTimeout is how long after its latest answer a hub is considered available.
	hubTimeout = 700 * time.Millisecond
	// maxPlacedInterval bounds the report interval of an instance for which the hub places requests. Such an instance may report
	// less often because the hub knows its loads and failures from placement updates, but hubTimeout must cover two reports.
	maxPlacedInterval = hubTimeout / 2
	// hubRetryDelay is how long a hub that did not answer is skipped.
	hubRetryDelay = 1500 * time.Millisecond
	// maxSamples bounds the request outcomes that wait for a report; further ones are dropped.
	maxSamples = 512
	// baselineInterval is the time between the outcomes of a service that are recorded outside of rollouts.
	baselineInterval = 25 * time.Millisecond
)

// reporter exchanges reports with the other instances by way of the hub.
type reporter struct {
	i      *Instance
	client *hub.Client

	// mu guards the fields below.
	mu           sync.Mutex
	aggregator   *hub.Aggregator
	sequence     int64
	pendingUsage map[string]ratelimit.Usage // Quota usage that has not been reported, keyed by team.
	samples      []hub.Sample               // Request outcomes that have not been reported.
	// baselineSampled is when an outcome of a service was last recorded outside of rollouts, keyed by service.
	baselineSampled map[string]time.Time
	// hubName is the hub that answered the latest report; empty after a failed report, or if this instance is the hub.
	hubName         string
	hubRunID        int64                      // Random id of the hub's run of its process.
	hubUsage        map[string]ratelimit.Usage // Total quota usage in the hub's latest answer, keyed by team.
	hubDemand       map[string]hub.Demand      // Demand in the hub's latest answer, keyed by service.
	hubPosition     store.Position             // Store position of the hub's copy.
	lastHubReply    time.Time                  // When the hub last answered.
	hubStoreAge     time.Duration              // Time since the store answered the hub itself, as of lastHubReply.
	hubFailures     map[string]time.Time       // When a hub last failed to answer, keyed by its name.
	hubUsageUnknown bool                       // The hub has just started and does not know earlier quota usage.
	crashSync       crashSync
	instanceCount   int // Number of instances in the hub's latest answer.
	partition       partition
}

// crashSync is how far the crashes of backend servers have been exchanged with a hub, in numbers of changes.
type crashSync struct {
	hub   string
	run   int64 // Random id of the hub's run of its process.
	sent  int64 // Changes of this instance that the hub has.
	known int64 // Changes of the hub that this instance has.
}

func newReporter(i *Instance) *reporter {
	return &reporter{
		i: i, client: hub.NewClient(), baselineSampled: map[string]time.Time{},
		aggregator: hub.NewAggregator(i.cfg.Name), pendingUsage: map[string]ratelimit.Usage{},
		hubFailures: map[string]time.Time{}, hubUsage: map[string]ratelimit.Usage{},
	}
}

// run sends reports until the instance stops.
func (r *reporter) run() {
	for r.i.ctx.Err() == nil {
		now := time.Now()
		target, ok := r.hubCandidate(now)
		r.i.recoverPanics("report", func() {
			if ok {
				r.report(target)
			} else {
				r.updateAsHub(now)
			}
			r.i.scheduler.Dispatch()
		})
		r.mu.Lock()
		n := r.instanceCount
		r.mu.Unlock()
		interval := hub.ReportInterval(n, target.Cores)
		if r.i.placementClient.isPlacedBy(target.Name) {
			interval = max(interval, min(2*interval, maxPlacedInterval))
		}
		r.i.scheduler.updateUnseen(2 * interval)
		r.i.sleep(interval - min(interval/2, time.Since(now)))
	}
}

// relaysStore reports whether the hub passes on the changes of the store.
func (r *reporter) relaysStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	return r.hubName != "" && now.Sub(r.lastHubReply) < hubTimeout &&
		r.hubPosition.Era >= r.i.follower.Position().Era && r.hubStoreAge+now.Sub(r.lastHubReply) < maxRelayedStoreAge
}

// reachableHub returns the hub; ok is false when it has not answered lately.
func (r *reporter) reachableHub(now time.Time) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hubName == "" || now.Sub(r.lastHubReply) >= hubTimeout {
		return fleet.Instance{}, false
	}
	n, ok := r.i.view.Load().Instances[r.hubName]
	return n, ok
}

// placeFor answers the placement update of another instance if this one is the hub.
func (r *reporter) placeFor(update hub.PlacementUpdate) hub.PlacementResponse {
	r.mu.Lock()
	hasNoHub := r.hubName == ""
	r.mu.Unlock()
	if !hasNoHub || r.i.stopping.Load() != nil {
		return hub.PlacementResponse{}
	}
	return r.i.scheduler.HandleUpdate(update, r.i.cfg.Cores)
}

// localLoads returns what this instance, as the hub, adds to the sum of the reports.
func (r *reporter) localLoads() (loads map[string]map[string]placement.Load, unreachable []string) {
	return r.i.scheduler.loadsByInstance(), r.i.scheduler.unreachableServers(time.Now())
}

// isHub reports whether this instance is the hub by the ranking of the registered instances. An empty hubName alone does not
// show it, as it also follows a failed report.
func (r *reporter) isHub() bool {
	target, ok := r.hubCandidate(time.Now())
	return !ok && target.Cores > 0 && len(r.i.view.Load().Instances) > 0
}

// addSample queues the outcome of a request for the next report.
func (r *reporter) addSample(s hub.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueSamples(s)
}

// addBaselineSample queues the outcome of a request outside of rollouts. All instances together record one of a service in each
// baselineInterval.
func (r *reporter) addBaselineSample(now time.Time, s hub.Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBaselineDue(now, s.Service) {
		r.baselineSampled[s.Service] = now
		r.queueSamples(s)
	}
}

// baselineDue reports whether the next outcome of a service outside of rollouts is recorded.
func (r *reporter) baselineDue(now time.Time, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isBaselineDue(now, service)
}

// isBaselineDue is baselineDue; mu must be held.
func (r *reporter) isBaselineDue(now time.Time, service string) bool {
	return now.Sub(r.baselineSampled[service]) >= time.Duration(max(1, r.instanceCount))*baselineInterval
}

// queueSamples queues outcomes of requests for the next report; mu must be held.
func (r *reporter) queueSamples(samples ...hub.Sample) {
	r.samples = append(r.samples, samples[:min(len(samples), max(0, maxSamples-len(r.samples)))]...)
}

// hubCandidate returns the instance to report to; ok is false when this one is the hub.
func (r *reporter) hubCandidate(now time.Time) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	instances := r.i.view.Load().Instances
	for _, candidate := range hub.RankCandidates(instances) {
		if candidate.Name == r.i.cfg.Name {
			if len(instances) == 1 && r.i.storeOutdated(now) {
				break
			}
			return candidate, false
		}
		if now.Sub(r.hubFailures[candidate.Name]) >= hubRetryDelay {
			return candidate, true
		}
	}
	if len(instances) > 1 {
		return fleet.Instance{Cores: r.i.cfg.Cores}, false
	}
	// No other instance is known and the store does not answer: a seed, one of the configured addresses of instances, may hold a
	// copy of the store.
	for _, seed := range r.i.cfg.Seeds {
		if seed != r.i.cfg.PeerAddress && now.Sub(r.hubFailures[seed]) >= hubRetryDelay {
			return fleet.Instance{Name: seed, Address: seed, Cores: r.i.cfg.Cores}, true
		}
	}
	return fleet.Instance{Cores: r.i.cfg.Cores}, false
}

// servingInstances returns the number of instances that may be serving callers: those that report to this hub, and those that
// fell silent or were lost in a partition, which may be cut off. mu must be held.
func (r *reporter) servingInstances(now time.Time, active int) int {
	return max(active+r.aggregator.SilentInstances(now), r.partition.count(now))
}

// updateAsHub does for the hub itself what a report does for the other instances.
func (r *reporter) updateAsHub(now time.Time) {
	_, _, used := r.i.scheduler.takeReport()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hubName != "" {
		r.hubName = ""
		event.HubChosen.Log(r.i.log()).Str("hub", r.i.cfg.Name).Send()
	}
	clear(r.pendingUsage)
	r.aggregator.AddUsage(used)
	r.aggregator.AddOwnDemand(r.i.demand.snapshot())
	instances := r.aggregator.ActiveInstances(now)
	possibleInstances := max(len(instances), r.partition.count(now))
	r.instanceCount = len(instances)
	r.aggregator.Sweep(now)
	sum, err := r.aggregator.Sum(now, r.localLoads)
	if err != nil {
		event.HubLost.Log(r.i.log()).Str("hub", r.i.cfg.Name).Err(err).Send()
	}
	others := maps.Clone(sum.Loads)
	for id, l := range sum.ByInstance[r.i.cfg.Name] {
		others[id] = others[id].Minus(l)
	}
	r.i.scheduler.applyClusterState(now, clusterState{
		loads: others, isHub: true, loadsByInstance: sum.ByInstance, interTokenMS: r.aggregator.InterTokenMS(),
		instances: instances, possibleInstances: possibleInstances, servingInstances: r.servingInstances(now, len(instances)),
		unreachable: sum.Unreachable, unreachableUntil: now.Add(unreachableTimeout),
		stopping: r.aggregator.StoppingInstances(now),
	})
	samples := r.samples
	r.samples = nil
	r.i.rollouts.addSamples(samples)
}
