package settings

import "github.com/mustardseam/mustardseam/operator/strict"

// FieldError says which field is invalid, where it stands and what is allowed there.
type FieldError = strict.FieldError

// FieldErrors lists all faults of a file by line, those of missing fields first.
type FieldErrors = strict.FieldErrors
