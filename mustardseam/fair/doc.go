// Package fair orders the waiting requests of a pool. Tiers have strict priority; within a tier, start-time fair
// queueing is applied to the teams and then to the groups of a team. The algorithm follows Goyal, Vin and Cheng,
// "Start-time Fair Queueing" (1996): the flow with the lowest start tag is served next, and its tag advances by the
// cost divided by the weight. State is kept only for teams that are waiting or have had more than their share.
// Such a flow is in debt: its start tag is ahead of the virtual time of its parent.
// Operations take time logarithmic in the number of teams.
package fair
