// Package rendezvous implements rendezvous hashing (Thaler and Ravishankar, 1998). It orders instances by weights that
// all of them compute alike without communication.
package rendezvous
