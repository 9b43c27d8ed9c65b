package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// Exit codes of the command.
const (
	exitDone     = 0
	exitFailed   = 1 // The command failed and had no effect.
	exitUsage    = 2
	exitConflict = 3
	exitInvalid  = 4
	exitUnknown  = 5 // The outcome of a submission is unknown; it may have been accepted.
)

// outcomeUnknownError reports a submission whose outcome could not be determined.
type outcomeUnknownError struct {
	id    string
	cause error
}

func (e *outcomeUnknownError) Error() string {
	return fmt.Sprintf("unknown: submission %s may have been accepted; repeat it with --id %s to find out: %v", e.id, e.id, e.cause)
}

func (e *outcomeUnknownError) Unwrap() error { return e.cause }

// errorOutput is the JSON form of an error, printed with -o json.
type errorOutput struct {
	Error    string                       `json:"error"`
	ExitCode int                          `json:"exit-code"`
	Conflict *revision.AcceptedSubmission `json:"conflict,omitempty"` // Submission that was accepted first.
	Fields   operator.FieldErrors         `json:"fields,omitempty"`
	Submit   string                       `json:"submit,omitempty"` // ID of a submission whose outcome is unknown.
}

// reportError prints err, if it is not nil, and returns the exit code for it.
func reportError(w io.Writer, asJSON bool, err error) int {
	if err == nil {
		return exitDone
	}
	f := classifyError(err)
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

// classifyError selects the exit code and the details for the type of err.
func classifyError(err error) errorOutput {
	f := errorOutput{Error: err.Error(), ExitCode: exitFailed}
	var conflict *revision.ConflictError
	var unknown *outcomeUnknownError
	var outcomeUnknown *revision.OutcomeUnknownError
	var reused *revision.ReusedIDError
	switch {
	case errors.As(err, &outcomeUnknown):
		f.ExitCode, f.Submit = exitUnknown, outcomeUnknown.ID
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
