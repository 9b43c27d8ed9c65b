// Package peers plays instances that decide alone, with what they last heard of each other, before model engines in virtual
// time. It drives the decisions of package placement, and rules to compare them with, on the same arrivals, and computes a
// bound on what any scheduler could have earned.
package peers
