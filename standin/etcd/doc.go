// Package etcd is a stand-in of the platform's key-value store: the subset of the JSON gateway of etcd v3 that the
// entry instances use, with outages, slowness and lost answers on request.
package etcd
