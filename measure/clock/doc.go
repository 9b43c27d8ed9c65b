// Package clock runs events in virtual time.
package clock
