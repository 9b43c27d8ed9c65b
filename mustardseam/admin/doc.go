// Package admin serves health, metrics and the state dump of an instance to its operators.
package admin
