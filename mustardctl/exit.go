package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// The exit codes.
const (
	exitDone     = 0
	exitFailed   = 1 // Without effect.
	exitUsage    = 2
	exitConflict = 3
	exitInvalid  = 4
	exitUnknown  = 5 // A submission may have been accepted.
)

// unknownError says that a submission's outcome could not be found out.
type unknownError struct {
	id    string
	cause error
}

func (e *unknownError) Error() string {
	return fmt.Sprintf("unknown: submission %s may have been accepted; repeat it with --id %s to find out: %v", e.id, e.id, e.cause)
}

func (e *unknownError) Unwrap() error { return e.cause }

// failure is an error as printed with -o json.
type failure struct {
	Error    string                       `json:"error"`
	ExitCode int                          `json:"exit-code"`
	Conflict *revision.AcceptedSubmission `json:"conflict,omitempty"` // The submission that was accepted first.
	Fields   operator.FieldErrors         `json:"fields,omitempty"`
	Submit   string                       `json:"submit,omitempty"` // Id of a submission whose outcome is unknown.
}

// report prints an error and returns its exit code.
func report(w io.Writer, asJSON bool, err error) int {
	if err == nil {
		return exitDone
	}
	f := describe(err)
	if !asJSON {
		_, _ = fmt.Fprintf(w, "mustardctl: %s\n", f.Error)
		return f.ExitCode
	}
	b, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		b = []byte(err.Error())
	}
	_, _ = fmt.Fprintf(w, "%s\n", b)
	return f.ExitCode
}

func describe(err error) failure {
	f := failure{Error: err.Error(), ExitCode: exitFailed}
	var conflict *revision.ConflictError
	var unknown *unknownError
	var forgotten *revision.OutcomeUnknownError
	var reused *revision.ReusedIDError
	switch {
	case errors.As(err, &forgotten):
		f.ExitCode, f.Submit = exitUnknown, forgotten.ID
	case errors.As(err, &reused):
		f.ExitCode = exitInvalid
	case errors.As(err, &unknown):
		f.ExitCode, f.Submit = exitUnknown, unknown.id
	case errors.As(err, &conflict):
		f.ExitCode, f.Conflict = exitConflict, &conflict.Other
	case errors.As(err, &f.Fields):
		f.ExitCode = exitInvalid
	}
	return f
}
