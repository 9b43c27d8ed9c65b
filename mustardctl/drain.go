package main

import (
	"context"
	"crypto/rand"
	"errors"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// targetArgs holds the arguments that select what a command drains or restores.
type targetArgs struct {
	Kind   operator.Target `arg:"" enum:"data-centre,backend-server" help:"data-centre or backend-server."`
	Name   string          `arg:"" help:"Name in the configuration."`
	Author string          `help:"Author of the change." env:"USER" default:"unknown"`
}

// drainCommand takes a target out of service.
type drainCommand struct {
	targetArgs
}

// Run submits the configuration in force with the target drained.
func (c *drainCommand) Run(ctx context.Context, e *env) error {
	return e.submitChange(ctx, c.Author, func(d operator.Document) (operator.Document, error) { return d.Drain(c.Kind, c.Name) })
}

// restoreCommand returns a target to service.
type restoreCommand struct {
	targetArgs
}

// Run submits the configuration in force with the target restored.
func (c *restoreCommand) Run(ctx context.Context, e *env) error {
	return e.submitChange(ctx, c.Author, func(d operator.Document) (operator.Document, error) { return d.Restore(c.Kind, c.Name) })
}

// submitChange reads the configuration in force, applies edit and submits the result. It starts over when another
// submission was accepted in between.
func (e *env) submitChange(ctx context.Context, author string, edit func(operator.Document) (operator.Document, error)) error {
	id := rand.Text()
	for {
		head, old, err := e.currentConfiguration(ctx)
		if isTransient(err) && e.sleep(ctx, retryInterval) == nil {
			continue
		}
		if err != nil {
			return err
		}
		next, err := edit(old)
		if err != nil {
			return err
		}
		list, err := operator.Diff(old, next)
		if err != nil {
			return err
		}
		if len(list) == 0 {
			return e.print(changeList{Revision: head.Revision})
		}
		record, err := e.submit(ctx, revision.Submission{
			ID: id, Author: author, Base: head.Revision, Document: next, At: e.now().UTC(),
		})
		var conflict *revision.ConflictError
		if errors.As(err, &conflict) && ctx.Err() == nil {
			continue
		}
		if err != nil {
			return err
		}
		return e.print(acceptedResult{record})
	}
}
