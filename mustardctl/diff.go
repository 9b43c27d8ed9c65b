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

// Run prints the differences between the configuration in force and the file.
func (c *diffCommand) Run(ctx context.Context, e *env) error {
	_, next, err := e.readDocument(c.File)
	if err != nil {
		return err
	}
	head, doc, err := e.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	list, err := operator.Diff(doc, next)
	if err != nil {
		return err
	}
	return e.print(changeList{Revision: head.Revision, Changes: list})
}

// currentConfiguration reads the configuration in force. If there is none, it returns an empty document and revision 0.
func (e *env) currentConfiguration(ctx context.Context) (revision.Head, operator.Document, error) {
	head, _, err := revision.ReadHead(ctx, e.store)
	if err != nil || head.Revision == 0 {
		return head, operator.New(), err
	}
	doc, err := e.fetchDocument(ctx, head.Digest)
	return head, doc, err
}

// changeList holds the differences between a revision and a file.
type changeList struct {
	Revision uint64            `json:"revision"`
	Changes  []operator.Change `json:"changes,omitempty"`
}

func (c changeList) table(w io.Writer) {
	if len(c.Changes) == 0 {
		writeRow(w, "no changes")
		return
	}
	writeRow(w, "PATH", "OLD", "NEW")
	for _, change := range c.Changes {
		writeRow(w, change.Path, change.Old, change.New)
	}
}
