// Package strict decodes YAML into structs, rejects what a lenient decoder would skip or convert, and reports every
// error with its path and line.
package strict
