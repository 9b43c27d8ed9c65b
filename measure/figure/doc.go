// Package figure holds measured figures, the bounds that the targets set for them, and their tables.
package figure
