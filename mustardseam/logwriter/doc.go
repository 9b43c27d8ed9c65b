// Package logwriter provides a non-blocking writer for log lines. Lines are buffered and written in the background. Lines
// that exceed the rate limit or do not fit into the buffer are dropped and counted.
package logwriter
