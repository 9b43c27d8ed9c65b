// Package cost estimates the prefill and decode tokens of a request from its prompt, the caller's output limit and the
// output lengths observed for the same route and team. It uses no clock and no random numbers.
package cost
