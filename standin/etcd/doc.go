// Package etcd is a stand-in for the platform's key-value store: the subset of the JSON gateway of etcd v3 that the
// entry instances use, with injectable outages, delays and lost responses.
package etcd
