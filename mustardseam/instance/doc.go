// Package instance implements an entry instance. It accepts requests from callers, obtains permits from the home of
// each pool, runs permitted requests on backend servers, and can itself be the home of pools.
package instance
