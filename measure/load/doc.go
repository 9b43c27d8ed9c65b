// Package load generates the arrivals of a run from a seed, so that every scheduler meets the same ones.
package load
