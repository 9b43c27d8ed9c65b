// Package settings reads the YAML settings of an entry instance strictly: it reports each fault with the path and the
// line of the field, what is wrong and what is allowed.
package settings
