package rollout

import (
	"fmt"
	"slices"

	"github.com/mustardseam/mustardseam/operator"
)

// ConflictError reports that a submission would change a route during its rollout, or reuse the ID of a rollout.
type ConflictError struct {
	Path    string // Path in the submitted document, such as routes[2].version.
	Running string // ID of the running rollout, or the ID that is already in use.
	Reason  string
}

// Error returns a message with the path, the rollout and what is allowed.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: rollout %q %s", e.Path, e.Running, e.Reason)
}

// Unwrap returns the error as operator.FieldErrors.
func (e *ConflictError) Unwrap() error {
	return operator.FieldErrors{{Path: e.Path, Reason: fmt.Sprintf("rollout %q %s", e.Running, e.Reason)}}
}

// CheckConflict returns a ConflictError when the new document changes the versions of a route whose rollout in the old document
// is running, unless the new rollout supersedes it by its ID. Removing the rollout is allowed: it ends, and the route keeps
// its version. Another schedule under the same ID is allowed too; Reschedule applies it to the record.
func CheckConflict(before, after operator.Document, running []string) error {
	indexByName := map[string]int{}
	for i, r := range after.Routes {
		indexByName[r.Name] = i
	}
	for _, old := range before.Routes {
		if old.Rollout == nil || !slices.Contains(running, old.Rollout.ID) {
			continue
		}
		i, ok := indexByName[old.Name]
		if !ok {
			return conflict("routes", old, fmt.Sprintf("is running on route %q, which must stay", old.Name))
		}
		if err := checkRoute(fmt.Sprintf("routes[%d]", i), old, after.Routes[i]); err != nil {
			return err
		}
	}
	return nil
}

// CheckReusedIDs returns a ConflictError when a rollout of the new document reuses an ID: that of another route in either
// document or, unless the old document has it, one for which taken returns true. Rollback marks are never removed, so a new
// rollout needs a new ID.
func CheckReusedIDs(before, after operator.Document, taken func(id string) bool) error {
	known := map[string]string{}
	for _, r := range before.Routes {
		if r.Rollout != nil {
			known[r.Rollout.ID] = r.Name
		}
	}
	seen := map[string]bool{}
	for i, r := range after.Routes {
		if r.Rollout == nil {
			continue
		}
		id := r.Rollout.ID
		if route, ok := known[id]; seen[id] || ok && route != r.Name || !ok && taken(id) {
			return &ConflictError{fmt.Sprintf("routes[%d].rollout.id", i), id, "exists already; a new rollout needs a new id"}
		}
		seen[id] = true
	}
	return nil
}

// checkRoute compares a route with a running rollout in the old document with the route in the new one.
func checkRoute(path string, old, next operator.Route) error {
	const remedy = "is running; name it in supersedes to replace it"
	switch {
	case next.Rollout != nil && next.Rollout.ID != old.Rollout.ID && next.Rollout.Supersedes == old.Rollout.ID:
		return nil
	case next.Version != old.Version:
		return conflict(path+".version", old, remedy)
	case next.Pool != old.Pool:
		return conflict(path+".pool", old, remedy)
	case next.Rollout == nil: // Ends the rollout; the route keeps its version.
		return nil
	case next.Rollout.ID != old.Rollout.ID:
		return conflict(path+".rollout.supersedes", old, remedy)
	case next.Rollout.To != old.Rollout.To:
		return conflict(path+".rollout.to", old, "is running; a rollout to another version needs another id and must supersede it")
	}
	return nil
}

func conflict(path string, r operator.Route, reason string) error {
	return &ConflictError{Path: path, Running: r.Rollout.ID, Reason: reason}
}
