package rollout

import (
	"math"
	"slices"
)

const (
	// failureBlock is the number of responses of each failure rate of a FailureBaseline, and failureBlocks the number of rates that
	// are kept.
	failureBlock  = 32
	failureBlocks = 64
	// minFailureBlocks is the number of rates from which the usual one is known.
	minFailureBlocks = 2
	// quartileDeviation is the distance of the lower quartile of a normal distribution from its mean, in standard deviations.
	quartileDeviation = 0.674
	// lowRun is the number of consecutive blocks that show a lower usual rate than all blocks together if their rate is lower by
	// minLowSurprise standard deviations: the others are then from a disturbance, however long it took.
	lowRun         = 3
	minLowSurprise = 3.5
)

// FailureBaseline holds how often responses of a version fail when it is well. It takes the mean of the blocks of responses in which
// no more fail than the lower quartile or a run of good blocks explains, so that a disturbance does not raise it. Its zero value is
// empty.
type FailureBaseline struct {
	responses, failures int       // Counts of the unfinished block.
	rates               []float64 // Rates of the latest blocks.
}

// Add records a response.
func (b *FailureBaseline) Add(ok bool) {
	if b.responses++; !ok {
		b.failures++
	}
	if b.responses < failureBlock {
		return
	}
	b.rates = append(b.rates, float64(b.failures)/failureBlock)
	b.rates = b.rates[max(0, len(b.rates)-failureBlocks):]
	b.responses, b.failures = 0, 0
}

// Blocks returns the number of blocks of responses of which the rate is found.
func (b *FailureBaseline) Blocks() int { return len(b.rates) }

// Restore takes over the usual rate that another one has found of a number of blocks.
func (b *FailureBaseline) Restore(rate float64, blocks int) {
	for range min(blocks, failureBlocks/4) {
		b.rates = append(b.rates, rate)
	}
}

// Rate returns the usual rate of failures plus its standard error; false if it is not known. It is false for nil too.
func (b *FailureBaseline) Rate() (rate float64, ok bool) {
	if b == nil || len(b.rates) < minFailureBlocks {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(b.rates))
	quartile := sorted[(len(sorted)-1)/4]
	rate = meanUpTo(sorted, quartile+quartileDeviation*math.Sqrt(quartile*(1-quartile)/failureBlock))
	if low, n := b.lowestRun(), float64(lowRun*failureBlock); rate-low > minLowSurprise*math.Sqrt(rate*(1-rate)/n) {
		rate = meanUpTo(sorted, low)
	}
	return rate + math.Sqrt(rate*(1-rate)/float64(len(sorted)*failureBlock)), true
}

// lowestRun returns the lowest mean of consecutive blocks; 1 if there are too few.
func (b *FailureBaseline) lowestRun() float64 {
	low := 1.
	for i := lowRun; i <= len(b.rates); i++ {
		sum := 0.
		for _, r := range b.rates[i-lowRun : i] {
			sum += r
		}
		low = min(low, sum/lowRun)
	}
	return low
}

// meanUpTo returns the mean of the lowest rate and of those that a rate explains.
func meanUpTo(sorted []float64, rate float64) float64 {
	sum := 0.
	for n, r := range sorted {
		if n > 0 && ExceedsRate(r*failureBlock, failureBlock, rate+failureMargin) {
			return sum / float64(n)
		}
		sum += r
	}
	return sum / float64(len(sorted))
}

// minSurprise is the number of standard deviations from which on failures exceed the usual rate.
const minSurprise = 2.5

// ExceedsRate reports whether failures of n responses are more than a rate explains.
func ExceedsRate(failures, n, rate float64) bool {
	expected := rate * n
	return failures > 0 && failures-expected > minSurprise*math.Sqrt(expected*(1-rate))
}
