// Package peers simulates, in virtual time, instances that place requests on model engines independently, using the load
// reports that they last received from each other. It runs package placement and simpler policies for comparison on the
// same arrivals, and computes an upper bound on the worth that any scheduler could achieve.
package peers
