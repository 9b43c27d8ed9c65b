package rollout

import (
	"fmt"

	"github.com/mustardseam/mustardseam/operator"
)

// ConflictError says that a submission would change a route while a rollout moves it.
type ConflictError struct {
	Path    string // Of the submitted document, as in routes[2].version.
	Running string // Id of the rollout.
}

// Error names the path and the rollout.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: rollout %q is running; name it in supersedes to replace it", e.Path, e.Running)
}

// Conflict returns a ConflictError when the new document changes the versions of a route whose rollout in the old one
// is among the running ids, unless the new rollout supersedes it by naming its id.
func Conflict(before, after operator.Document, running []string) error { return nil }
