// Package admin serves health checks, metrics and the state dump of an instance to operators.
package admin
