// Package cost estimates how many tokens a request takes to prefill and to decode, from its prompt, the caller's limit
// and the lengths observed on the same route and team. It has no clock and no random numbers.
package cost
