// Package fleet holds what an instance believes about its deployment: the configuration in force, the backend servers,
// the data centres that are taken out and the rollouts. A View is immutable; readers on the path of a request load the
// newest one from an atomic pointer, and a single writer replaces it by the view that its With methods return.
package fleet
