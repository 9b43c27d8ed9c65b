// Package etcd is a client for the platform's key-value store, which provides the JSON gateway of etcd v3.
package etcd
