package rollout

import (
	"fmt"
	"slices"

	"github.com/mustardseam/mustardseam/operator"
)

// ConflictError says that a submission would change a route while a rollout moves it, or use the id of a rollout again.
type ConflictError struct {
	Path    string // Of the submitted document, as in routes[2].version.
	Running string // Id of the rollout that is running, or that has the id already.
	Reason  string
}

// Error names the path, the rollout and what is allowed.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: rollout %q %s", e.Path, e.Running, e.Reason)
}

// Unwrap returns the fault as operator.FieldErrors.
func (e *ConflictError) Unwrap() error {
	return operator.FieldErrors{{Path: e.Path, Reason: fmt.Sprintf("rollout %q %s", e.Running, e.Reason)}}
}

// Conflict returns a ConflictError when the new document changes the versions of a route whose rollout in the old one
// is among the running ids, unless the new rollout supersedes it by naming its id. Removing the rollout is allowed: it
// ends, and the route keeps its version. So is another schedule under the same id, which Reschedule puts into the record.
func Conflict(before, after operator.Document, running []string) error {
	at := map[string]int{}
	for i, r := range after.Routes {
		at[r.Name] = i
	}
	for _, old := range before.Routes {
		if old.Rollout == nil || !slices.Contains(running, old.Rollout.ID) {
			continue
		}
		i, ok := at[old.Name]
		if !ok {
			return busy("routes", old, fmt.Sprintf("is running on route %q, which must stay", old.Name))
		}
		if err := changed(fmt.Sprintf("routes[%d]", i), old, after.Routes[i]); err != nil {
			return err
		}
	}
	return nil
}

// Reused returns a ConflictError when a rollout that the old document lacks has an id that is taken: by another route of
// the new document or by a record. A mark is never unset, so a new rollout needs a new id.
func Reused(before, after operator.Document, taken func(id string) bool) error {
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

// changed compares a route under a running rollout with its successor.
func changed(path string, old, next operator.Route) error {
	const remedy = "is running; name it in supersedes to replace it"
	switch {
	case next.Rollout != nil && next.Rollout.ID != old.Rollout.ID && next.Rollout.Supersedes == old.Rollout.ID:
		return nil
	case next.Version != old.Version:
		return busy(path+".version", old, remedy)
	case next.Pool != old.Pool:
		return busy(path+".pool", old, remedy)
	case next.Rollout == nil: // Ends the rollout; the route keeps its version.
		return nil
	case next.Rollout.ID != old.Rollout.ID:
		return busy(path+".rollout.supersedes", old, remedy)
	case next.Rollout.To != old.Rollout.To:
		return busy(path+".rollout.to", old, "is running; a rollout to another version needs another id and must supersede it")
	}
	return nil
}

func busy(path string, r operator.Route, reason string) error {
	return &ConflictError{Path: path, Running: r.Rollout.ID, Reason: reason}
}
