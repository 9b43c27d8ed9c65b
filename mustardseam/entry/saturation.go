package entry

import "github.com/mustardseam/mustardseam/mustardseam/placement"

// failureScope is the set of other jobs that cannot be placed either after one could not be. It covers only jobs that allow
// at most the same queue depth at a backend server.
type failureScope int

const (
	scopeAll       failureScope = iota // All jobs.
	scopePreferred                     // All jobs at preferred backend servers; jobs of the same instance at the others.
	scopeInstance                      // Jobs of the same instance.
	scopeJob                           // The job alone.
)

// saturation caches, during one dispatch of the queue of a service, for which jobs no room was found. Without it a hub
// would examine all backend servers for each of hundreds of queued jobs whenever a request ends, which takes all of its
// processor time.
type saturation struct {
	preferredDepth int            // Greatest queue depth without room at the preferred backend servers; -1 when unknown.
	allServers     bool           // preferredDepth holds for all backend servers, not only for the preferred ones.
	instanceDepth  map[string]int // Greatest queue depth without room at all backend servers, keyed by instance.
}

func newSaturation() *saturation {
	return &saturation{preferredDepth: -1, instanceDepth: map[string]int{}}
}

// covers reports whether a job is known to have no room.
func (s *saturation) covers(j *placement.Job, instance string, depth int) bool {
	if s.allServers && depth <= s.preferredDepth {
		return true
	}
	fullDepth, known := s.instanceDepth[instance]
	return known && depth <= fullDepth && len(j.Tried) == 0
}

// preferredFull reports whether the preferred backend servers are known to have no room for a job.
func (s *saturation) preferredFull(j *placement.Job, depth int) bool {
	return depth <= s.preferredDepth && len(j.Tried) == 0
}

// add records that a job had no room. The failure of a job that was already sent to a backend server is ignored because it
// says nothing about other jobs.
func (s *saturation) add(j *placement.Job, instance string, depth int, scope failureScope) {
	if len(j.Tried) > 0 || scope == scopeJob {
		return
	}
	s.instanceDepth[instance] = max(depth, s.instanceDepth[instance])
	if scope == scopeInstance {
		return
	}
	s.preferredDepth = max(s.preferredDepth, depth)
	s.allServers = scope == scopeAll
}

// allFull reports whether no queued job can have room.
func (s *saturation) allFull(maxDepth int) bool {
	return s.allServers && s.preferredDepth >= maxDepth
}
