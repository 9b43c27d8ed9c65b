// Package etcd is a client of the platform's key-value store, which speaks the JSON gateway of etcd v3.
package etcd
