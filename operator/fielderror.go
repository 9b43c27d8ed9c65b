package operator

import "github.com/mustardseam/mustardseam/operator/strict"

// FieldError reports an invalid field of a document and the values that it allows.
type FieldError = strict.FieldError

// FieldErrors lists all invalid fields of a document in the order of the fields.
type FieldErrors = strict.FieldErrors
