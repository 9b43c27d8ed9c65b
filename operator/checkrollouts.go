package operator

import "fmt"

// CheckRollouts returns a fault for each route of next whose versions differ from old's while old's rollout of that
// route still runs. Allowed are another rollout that supersedes the running one by its id, and the removal of the
// rollout with the route's version unchanged. The ids of ended rollouts, done or rolled back, are in ended.
func CheckRollouts(old, next Document, ended map[string]bool) FieldErrors {
	var faults FieldErrors
	for i, r := range next.Routes {
		at := find(old.Routes, r.Name)
		if at < 0 || old.Routes[at].Rollout == nil || ended[old.Routes[at].Rollout.ID] {
			continue
		}
		if !keepsVersions(old.Routes[at], r) {
			faults = append(faults, FieldError{
				Path: fmt.Sprintf("routes[%d].rollout", i),
				Reason: fmt.Sprintf("rollout %q of route %q is running; another rollout must name it in supersedes",
					old.Routes[at].Rollout.ID, r.Name),
			})
		}
	}
	return faults
}

// keepsVersions reports whether the next route is allowed while the old one's rollout runs.
func keepsVersions(old, next Route) bool {
	if next.Version != old.Version || next.Pool != old.Pool {
		return false
	}
	running := old.Rollout
	switch {
	case next.Rollout == nil || next.Rollout.Supersedes == running.ID:
		return true
	default:
		return next.Rollout.ID == running.ID && next.Rollout.To == running.To
	}
}
