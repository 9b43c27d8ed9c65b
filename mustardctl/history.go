package main

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
)

// historyCommand lists accepted submissions.
type historyCommand struct{}

// Run prints the submissions listed in the head, newest first.
func (c *historyCommand) Run(ctx context.Context, e *env) error {
	head, _, err := revision.ReadHead(ctx, e.store)
	if err != nil {
		return err
	}
	list := slices.Clone(head.Submissions)
	slices.Reverse(list)
	return e.print(history{Submits: list})
}

// history is the output of the history command, newest first.
type history struct {
	Submits []revision.AcceptedSubmission `json:"submits,omitempty"`
}

func (h history) table(w io.Writer) {
	writeRow(w, "REVISION", "AT", "AUTHOR", "DIGEST", "ID")
	for _, s := range h.Submits {
		writeRow(w, s.Revision, s.At.Format(time.RFC3339), s.Author, shortDigest(s.Digest), s.ID)
	}
}
