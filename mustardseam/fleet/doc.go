// Package fleet holds an instance's view of its deployment: the configuration in force, the backend servers, the data
// centres that are out of service, and the rollouts. A View is immutable: request handlers load the latest one from an
// atomic pointer, and a single writer replaces it with the view returned by With or WithoutLapsed.
package fleet
