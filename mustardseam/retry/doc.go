// Package retry bounds how often and how fast requests are attempted again. It is pure: random numbers and remaining
// times are passed in.
package retry
