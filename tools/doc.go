// Package tools pins the formatter and the linter as Go tools, so that the product's modules do not depend on them.
package tools
