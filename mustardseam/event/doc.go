// Package event defines the numbered log events of the program. docs/log-events.md lists them for operators.
package event
