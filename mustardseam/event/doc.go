// Package event numbers the log events of the program; docs/log-events.md is their catalogue.
package event
