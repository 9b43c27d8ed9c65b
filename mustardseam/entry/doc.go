// Package entry implements an instance: it authenticates requests, places them on backend servers, retries what may be
// retried, resumes streams and tells callers accurately whether a request was run. Instances share only the platform's
// store and short reports. The package does not depend on the platform's names; an adapter translates them.
package entry
