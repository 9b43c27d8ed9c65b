package autoscale

import (
	"math"
	"slices"
	"time"
)

// loads is the load of each sample of a history, calibrated.
type loads struct {
	samples  []sample
	scale    float64   // Calibration of the expected work.
	work     []float64 // Units of work per second, including the share of waiting work to be done per second.
	smoothed []float64 // Mean of the latest samples up to each one.
	period   int       // Period in samples; 0 if the load is not periodic.
	forecast float64   // Highest load expected when backend servers that are ordered now take load; 0 without a period.
}

// newLoads returns the loads of samples, of which there is at least one.
func newLoads(cfg Config, samples []sample) loads {
	l := loads{samples: samples, scale: calibration(samples)}
	arrived := make([]float64, len(samples))
	for i, s := range samples {
		// Waiting requests are work beyond that of the arrivals. It is spread over the lead time, as new backend servers
		// cannot take it earlier.
		l.work = append(l.work, l.scale*(s.work/s.seconds+s.backlog/max(1, cfg.leadTime().Seconds())))
		n := 0.0
		for j := max(0, i-smoothing+1); j <= i; j++ {
			arrived[i] += samples[j].arrived / samples[j].seconds
			n++
		}
		l.smoothed = append(l.smoothed, mean(l.work[max(0, i-smoothing+1):]))
	}
	l.period = period(arrived)
	l.forecast = forecast(l.smoothed, l.period, cfg.Boot, cfg.leadTime()+time.Second)
	return l
}

// mean returns the mean load of the latest n samples.
func (l loads) mean(n int) float64 { return mean(l.work[max(0, len(l.work)-n):]) }

// latest returns the smoothed latest load.
func (l loads) latest() float64 { return l.smoothed[len(l.smoothed)-1] }

// meanSince returns the mean load of the samples since a time, but at most that of the latest surgeSamples.
func (l loads) meanSince(t time.Time) float64 {
	n := 0
	for i := len(l.samples) - 1; i >= 0 && l.samples[i].at.After(t) && n < surgeSamples; i-- {
		n++
	}
	return l.mean(max(1, n))
}

// busiest returns the highest share of their capacity that the backend servers used in the latest n samples.
func (l loads) busiest(n int) float64 {
	highest := 0.0
	for _, s := range l.samples[max(0, len(l.samples)-n):] {
		highest = max(highest, s.busy)
	}
	return highest
}

// deviation returns the relative standard deviation of the mean load of the latest n samples that independent arrivals give.
func (l loads) deviation(n int) float64 {
	arrived := 0.0
	for _, s := range l.samples[max(0, len(l.samples)-n):] {
		arrived += s.arrived
	}
	return math.Sqrt(workVariance / max(1, arrived))
}

// below reports whether the load is lower than a capacity again.
func (l loads) below(full float64) bool {
	return l.mean(smoothing) < full || l.mean(1) < full*(1-l.deviation(1))
}

// start returns the start of the latest n samples.
func (l loads) start(n int) time.Time {
	s := l.samples[max(0, len(l.samples)-n)]
	return s.at.Add(-time.Duration(s.seconds * float64(time.Second)))
}

// sustained returns the load that lasts: the sustainQuantile of the smoothed loads in sustainWindow, but at most what was
// reached in the latest minSustainSamples; 0 if there are too few samples.
func (h *History) sustained(now time.Time, l loads) float64 {
	recent := slices.Clone(l.smoothed[len(l.smoothed)-len(h.since(now.Add(-sustainWindow))):])
	if len(recent) < minSustainSamples {
		return 0
	}
	latest := slices.Max(recent[len(recent)-minSustainSamples:])
	slices.Sort(recent)
	return min(latest, recent[int(sustainQuantile*float64(len(recent)-1))])
}

// peak returns the highest smoothed load of the latest samples, of which as many are taken as are given.
func (l loads) peak(samples []sample) float64 {
	recent := l.smoothed[len(l.smoothed)-len(samples):]
	if len(recent) == 0 {
		return l.latest()
	}
	return slices.Max(recent)
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(max(1, len(values)))
}
