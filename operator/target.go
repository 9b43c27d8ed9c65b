package operator

import (
	"fmt"
	"strings"
)

// Target is a kind of document entry that can be drained and restored.
type Target string

// Kinds of targets, with their names on the mustardctl command line.
const (
	DataCentreTarget    Target = "data-centre"
	BackendServerTarget Target = "backend-server"
)

// Drain returns a copy of the document in which the named target gets no new work; the error is an UnknownNameError.
func (d Document) Drain(kind Target, name string) (Document, error) {
	return d.withDrained(kind, name, true)
}

// Restore returns a copy of the document in which the named target gets work again; the error is an UnknownNameError.
func (d Document) Restore(kind Target, name string) (Document, error) {
	return d.withDrained(kind, name, false)
}

func (d Document) withDrained(kind Target, name string, drained bool) (Document, error) {
	switch kind {
	case DataCentreTarget:
		at := indexOfKey(d.DataCentres, name)
		if at < 0 {
			return d, &UnknownNameError{Kind: kind, Name: name, Known: entryKeys(d.DataCentres)}
		}
		return d.WithDataCentre(d.DataCentres[at].WithOutOfService(drained)), nil
	case BackendServerTarget:
		at := indexOfKey(d.BackendServers, name)
		if at < 0 {
			return d, &UnknownNameError{Kind: kind, Name: name, Known: entryKeys(d.BackendServers)}
		}
		return d.WithBackendServer(d.BackendServers[at].WithLeaving(drained)), nil
	default:
		return d, &UnknownNameError{Kind: kind, Name: name}
	}
}

// UnknownNameError reports that a document has no target of the given kind and name.
type UnknownNameError struct {
	Kind  Target
	Name  string
	Known []string // Names of the document's targets of this kind.
}

// Error returns the missing name and the names of that kind in the document.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("no %s %q; the configuration has: %s", e.Kind, e.Name, strings.Join(e.Known, ", "))
}
