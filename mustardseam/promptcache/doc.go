// Package promptcache records which parts of prompts each engine probably keeps in its prompt cache.
//
// An Index is built from the requests that were sent to the engines: the parts of a prompt count as kept once the first
// event has arrived, and the least recently used parts are evicted within the memory that running requests leave. Events
// of the engines may correct it. The record is an estimate; nothing but the choice among engines may depend on it.
//
// The package starts no goroutines and reads no clock. Its types are not safe for concurrent use.
package promptcache
