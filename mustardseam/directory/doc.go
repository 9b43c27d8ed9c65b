// Package directory implements a client of the platform's instance list, which lags behind, and of its weight store.
package directory
