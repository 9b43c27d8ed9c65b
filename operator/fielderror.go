package operator

import "github.com/mustardseam/mustardseam/operator/strict"

// FieldError says which field of a document is invalid and what is allowed there.
type FieldError = strict.FieldError

// FieldErrors lists all faults of a document in the order of its fields.
type FieldErrors = strict.FieldErrors
