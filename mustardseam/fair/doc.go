// Package fair orders the waiting requests of a pool: strict tiers, and inside a tier start-time fair queueing over
// teams and over the groups of a team. The order follows Goyal, Vin and Cheng, "Start-time Fair Queueing" (1996): the
// flow with the lowest start tag is served, and its tag advances by cost divided by weight. State exists only for
// teams that wait or have had more than their share; operations are logarithmic in the number of teams.
package fair
