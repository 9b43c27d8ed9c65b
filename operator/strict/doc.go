// Package strict decodes YAML into structs, refuses what a lenient decoder would skip or convert, and reports every
// fault with its path and line.
package strict
