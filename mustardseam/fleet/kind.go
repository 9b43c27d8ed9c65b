package fleet

// Kind says what may be repeated of the requests on a route.
type Kind string

// The kinds of routes.
const (
	Safe   Kind = "safe"   // May run any number of times.
	Unsafe Kind = "unsafe" // May run at most once.
	Stream Kind = "stream" // Answers with events; may run again only where the route is resumable.
)
