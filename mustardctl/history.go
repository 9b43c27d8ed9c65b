package main

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// historyCommand lists submissions.
type historyCommand struct{}

// Run prints the submissions that the head remembers, the newest first.
func (c *historyCommand) Run(ctx context.Context, e *env) error {
	head, _, err := revision.ReadHead(ctx, e.store)
	if err != nil {
		return err
	}
	list := slices.Clone(head.Submissions)
	slices.Reverse(list)
	return e.print(history{Submits: list})
}

// history lists submissions, the newest first.
type history struct {
	Submits []revision.AcceptedSubmission `json:"submits,omitempty"`
}

func (h history) table(w io.Writer) {
	row(w, "REVISION", "AT", "AUTHOR", "DIGEST", "ID")
	for _, s := range h.Submits {
		row(w, s.Revision, s.At.Format(time.RFC3339), s.Author, short(s.Digest), s.ID)
	}
}
