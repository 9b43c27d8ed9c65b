package entry

import "github.com/mustardseam/mustardseam/mustardseam/place"

// sameFor says for which other jobs the failure to place one holds.
type sameFor int

const (
	sameForAll       sameFor = iota // All that may fill backend servers as far.
	sameForPreferred                // All, as to the preferred backend servers; as to the others, those of its instance.
	sameForInstance                 // Those of its instance.
)

// full is what a look at the waiting jobs of a service has found to have no room. Without it a hub looks at all backend
// servers for each of hundreds of waiting jobs whenever a request ends, which takes all of its processor.
type full struct {
	deep       int            // How far preferred backend servers may be filled without room; -1 when that is not known.
	everywhere bool           // There are no others than the preferred ones.
	instances  map[string]int // The same for the jobs of an instance, at all backend servers.
}

func newFull() *full { return &full{deep: -1, instances: map[string]int{}} }

// covers reports whether a job is known to have no room.
func (f *full) covers(j *place.Job, instance string, deep int) bool {
	if f.everywhere && deep <= f.deep {
		return true
	}
	at, known := f.instances[instance]
	return known && deep <= at && len(j.Tried) == 0
}

// preferred reports whether the preferred backend servers are known to have no room for a job.
func (f *full) preferred(j *place.Job, deep int) bool { return deep <= f.deep && len(j.Tried) == 0 }

// add takes in that a job had no room. One that was tried elsewhere tells nothing of others.
func (f *full) add(j *place.Job, instance string, deep int, same sameFor) {
	if len(j.Tried) > 0 {
		return
	}
	f.instances[instance] = max(deep, f.instances[instance])
	if same == sameForInstance {
		return
	}
	f.deep = max(f.deep, deep)
	f.everywhere = same == sameForAll
}

// all reports whether no waiting job can have room.
func (f *full) all(deepest int) bool { return f.everywhere && f.deep >= deepest }
