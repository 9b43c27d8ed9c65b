package main

import (
	"context"
	"io"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// diffCommand compares a file with the configuration in force.
type diffCommand struct {
	File string `arg:"" help:"YAML or JSON file; - reads standard input."`
}

// Run prints the changes.
func (c *diffCommand) Run(ctx context.Context, e *env) error {
	_, next, err := e.readDocument(c.File)
	if err != nil {
		return err
	}
	head, doc, err := e.current(ctx)
	if err != nil {
		return err
	}
	list, err := operator.Diff(doc, next)
	if err != nil {
		return err
	}
	return e.print(changes{Revision: head.Revision, Changes: list})
}

// current reads the configuration in force; a store without one yields an empty document of revision 0.
func (e *env) current(ctx context.Context) (revision.Head, operator.Document, error) {
	head, _, err := revision.ReadHead(ctx, e.store)
	if err != nil || head.Revision == 0 {
		return head, operator.New(), err
	}
	doc, err := e.fetch(ctx, head.Digest)
	return head, doc, err
}

// changes lists what a file would change in a revision.
type changes struct {
	Revision uint64            `json:"revision"`
	Changes  []operator.Change `json:"changes,omitempty"`
}

func (c changes) table(w io.Writer) {
	if len(c.Changes) == 0 {
		row(w, "no changes")
		return
	}
	row(w, "PATH", "OLD", "NEW")
	for _, change := range c.Changes {
		row(w, change.Path, change.Old, change.New)
	}
}
