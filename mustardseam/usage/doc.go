// Package usage counts the requests of teams by windows of true time and seals the counts of all instances for the platform.
//
// Each instance counts its own requests. Counts of a run of an instance only rise, so that ledgers are merged by the maximum
// and a lost or repeated message changes nothing. The holder of the duty seals a window: it fixes the counts and writes them
// to the store before they are reported. The times of all instances are brought into line by a median of their clocks.
package usage
