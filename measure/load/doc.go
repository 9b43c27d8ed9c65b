// Package load generates the arrivals of a run from a seed, so that all schedulers get the same arrivals.
package load
