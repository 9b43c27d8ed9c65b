package settings

import "github.com/mustardseam/mustardseam/operator/strict"

// FieldError describes an invalid field: its path, its line and what is allowed there.
type FieldError = strict.FieldError

// FieldErrors lists all faults of a file, sorted by line; those of missing fields come first.
type FieldErrors = strict.FieldErrors
