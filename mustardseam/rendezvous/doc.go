// Package rendezvous orders instances by weights that all of them compute alike, without an exchange (rendezvous hashing,
// Thaler and Ravishankar, 1998).
package rendezvous
