package share

import "time"

const (
	// budgetPart is the part of the bound on retries that is used; the rest covers instances that nobody knows of.
	budgetPart = 0.7
	// minRetries is the least burst of an instance, so that a large fleet still repeats a single request.
	minRetries = 1
)

// BudgetConfig bounds the retries that reach a service from all instances.
type BudgetConfig struct {
	Ratio  float64       // Retries for each first request.
	Extra  float64       // Retries beside these in a window, over all instances.
	Window time.Duration // Over which they are counted.
}

// Budget allows retries within this instance's standing share; it is not safe for concurrent use.
type Budget struct {
	cfg      BudgetConfig
	services map[string]*serviceBudget
}

// serviceBudget is the account of one service.
type serviceBudget struct {
	earned float64 // Retries that first requests paid for.
	extra  Bucket
}

// NewBudget returns a budget without accounts.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, services: map[string]*serviceBudget{}}
}

// Configure replaces the bounds; the accounts stay.
func (b *Budget) Configure(cfg BudgetConfig) { b.cfg = cfg }

// First takes in a first request for a service, which pays for a part of a retry. What is saved is bounded by a part of
// this instance's share, since a window counts only the requests in it.
func (b *Budget) First(service string, instances int) {
	s := b.account(service)
	s.earned = min(s.earned+budgetPart*b.cfg.Ratio, max(minRetries, b.burst(instances)/2))
}

// burst returns the retries of a window that this instance may make beside those that first requests pay for.
func (b *Budget) burst(instances int) float64 {
	return max(minRetries, budgetPart*b.cfg.Extra/float64(max(1, instances)))
}

// Allow takes a retry from the budget when it has one.
func (b *Budget) Allow(now time.Time, service string, instances int) bool {
	s := b.account(service)
	if s.earned >= 1 {
		s.earned--
		return true
	}
	burst := b.burst(instances)
	// A full bucket and its refill together stay within the share of one window.
	rate := burst / 2 / max(1, b.cfg.Window.Seconds())
	s.extra.Resize(now, rate, max(minRetries, burst/2))
	return s.extra.Take(now, 1)
}

func (b *Budget) account(service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{}
		b.services[service] = s
	}
	return s
}
