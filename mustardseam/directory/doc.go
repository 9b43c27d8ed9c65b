// Package directory is a client of the platform's lagging list of instances and of its weight store.
package directory
