// Package cluster runs the stand-ins and the entry instances of a site on loopback within one process.
package cluster
