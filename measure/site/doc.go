// Package site defines the two sites of design 1.1: their documents, engines and entry instances.
package site
