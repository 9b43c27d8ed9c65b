// Package instance is an entry instance: it takes requests from callers, asks the homes of the pools for permits, runs
// granted requests on backend servers, and can itself be the home of pools.
package instance
