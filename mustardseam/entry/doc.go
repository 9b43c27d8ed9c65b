// Package entry is the runtime of an instance that shares nothing with the others but the platform's store and short
// reports. It authenticates requests, places them on backend servers, repeats what may be repeated, resumes streams and
// tells callers truthfully what happened. It knows no names of the platform; an adapter translates them.
package entry
