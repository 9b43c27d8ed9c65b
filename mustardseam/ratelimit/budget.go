package ratelimit

import "time"

const (
	// budgetUsedFraction is the fraction of the retry limit that is used; the rest covers instances that are unknown to
	// the others.
	budgetUsedFraction = 0.7
	// minRetryBurst is the lowest burst of an instance, so that single requests are still retried in a large fleet.
	minRetryBurst = 1
)

// BudgetConfig limits the retries that reach a service from all instances.
type BudgetConfig struct {
	Ratio  float64       // Retries per first request.
	Extra  float64       // Additional retries per window over all instances.
	Window time.Duration // Time over which retries are counted.
}

// Budget allows retries within this instance's local share. It is not safe for concurrent use.
type Budget struct {
	cfg      BudgetConfig
	services map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	earnedRetries float64     // Unused retries earned by first requests.
	extraRetries  tokenBucket // Retries that are allowed in addition.
}

// NewBudget returns a budget for which no requests were counted.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, services: map[string]*serviceBudget{}}
}

// Configure replaces the limits and keeps the earned and additional retries.
func (b *Budget) Configure(cfg BudgetConfig) { b.cfg = cfg }

// CountFirst counts a first request for a service, which earns a fraction of a retry. The unused retries are limited to a
// fraction of this instance's share, since only the requests within a window count for its limit.
func (b *Budget) CountFirst(service string, instances int) {
	s := b.budgetFor(service)
	s.earnedRetries = min(s.earnedRetries+budgetUsedFraction*b.cfg.Ratio, max(minRetryBurst, b.burst(instances)/2))
}

// burst returns the number of retries per window that this instance may make in addition to those earned by first
// requests.
func (b *Budget) burst(instances int) float64 {
	return max(minRetryBurst, budgetUsedFraction*b.cfg.Extra/float64(max(1, instances)))
}

// Take takes a retry from the budget of a service and reports whether there was one.
func (b *Budget) Take(now time.Time, service string, instances int) bool {
	s := b.budgetFor(service)
	if s.earnedRetries >= 1 {
		s.earnedRetries--
		return true
	}
	burst := b.burst(instances)
	// A full bucket and its refill together stay within the share of one window.
	rate := burst / 2 / max(1, b.cfg.Window.Seconds())
	s.extraRetries.resize(now, rate, max(minRetryBurst, burst/2))
	return s.extraRetries.take(now, 1)
}

// budgetFor returns the budget of a service and creates it if necessary.
func (b *Budget) budgetFor(service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{}
		b.services[service] = s
	}
	return s
}
