package fleet

// Kind states whether requests on a route may be repeated.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // May run any number of times.
	Unsafe Kind = "unsafe" // May run at most once.
	Stream Kind = "stream" // Responds with an event stream; may run again only if the route is resumable.
)
