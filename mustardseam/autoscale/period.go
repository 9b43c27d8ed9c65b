package autoscale

import (
	"math"
	"time"
)

const (
	// minPeriod and maxPeriod bound the periods that are looked for, in samples. A shorter one than minPeriod cannot be told
	// from noise at a sample a second; minPeriods of maxPeriod fit into the history.
	minPeriod = 6
	maxPeriod = historyLength / minPeriods
	// minPeriods is the number of periods that must have been seen. Any two bursts are two periods.
	minPeriods = 3
	// minCompared is the least number of samples that are compared with those of earlier periods.
	minCompared = 12
	// minCorrelation is the correlation of the load with itself a period earlier from which on it counts as periodic.
	minCorrelation = 0.6
	// minSwing is the lowest standard deviation of a periodic load, in those of independent arrivals at the same rate.
	minSwing = 1.5
)

// period returns the period of a load in samples, or 0 if the load is not periodic. The load is given as arrivals in each
// sample. The latest period must resemble each of the two before it: a burst resembles noise at one distance by chance.
func period(arrived []float64) int {
	best, found := minCorrelation, 0
	for lag := minPeriod; lag <= min(maxPeriod, len(arrived)/minPeriods); lag++ {
		compared := max(lag, minCompared)
		from := len(arrived) - compared
		if from < 2*lag {
			continue
		}
		latest := arrived[from:]
		r1, swing1 := correlation(latest, arrived[from-lag:len(arrived)-lag])
		r2, swing2 := correlation(latest, arrived[from-2*lag:len(arrived)-2*lag])
		// A multiple of the period correlates as well as the period itself, but for noise.
		if r := min(r1, r2); r > best+0.05 && min(swing1, swing2) >= minSwing {
			best, found = r, lag
		}
	}
	return found
}

// correlation returns the correlation of two series of equal length, and the lower one of their standard deviations in those
// of independent arrivals.
func correlation(a, b []float64) (r, swing float64) {
	n := float64(len(a))
	var meanA, meanB float64
	for i := range a {
		meanA += a[i] / n
		meanB += b[i] / n
	}
	var ab, aa, bb float64
	for i := range a {
		ab += (a[i] - meanA) * (b[i] - meanB)
		aa += (a[i] - meanA) * (a[i] - meanA)
		bb += (b[i] - meanB) * (b[i] - meanB)
	}
	if aa <= 0 || bb <= 0 || meanA <= 0 || meanB <= 0 {
		return 0, 0
	}
	return ab / math.Sqrt(aa*bb), math.Sqrt(min(aa/meanA, bb/meanB) / n)
}

// forecast returns the highest load that a load with a period is expected to have between from and to after the latest
// sample; 0 without a period. The same phases of the latest minPeriods periods are averaged, as single samples are noisy.
func forecast(load []float64, lag int, from, to time.Duration) float64 {
	if lag == 0 || len(load) < minPeriods*lag {
		return 0
	}
	peak := 0.0
	for ahead := int(from / time.Second); ahead <= int(to/time.Second); ahead++ {
		i := len(load) - 1 + ahead
		for i >= len(load) {
			i -= lag
		}
		total := 0.0
		for k := range minPeriods {
			total += load[max(0, i-k*lag)]
		}
		peak = max(peak, total/minPeriods)
	}
	return peak
}
