package main

import (
	"context"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// getCommand prints a configuration.
type getCommand struct {
	Revision uint64 `help:"Revision, one of the last 64; default: the one in force."`
}

// Run prints the document, preceded by a comment from which submit reads the base revision.
func (c *getCommand) Run(ctx context.Context, e *env) error {
	head, _, err := revision.ReadHead(ctx, e.store)
	if err != nil {
		return err
	}
	s, err := findSubmission(head, c.Revision)
	if err != nil {
		return err
	}
	doc, err := e.fetchDocument(ctx, s.Digest)
	if err != nil {
		return err
	}
	yaml, err := doc.YAML()
	if err != nil {
		return err
	}
	return e.print(storedConfiguration{AcceptedSubmission: s, Document: doc, base: head.Revision, yaml: yaml})
}

// findSubmission returns the submission of revision n; 0 selects the revision in force.
func findSubmission(head revision.Head, n uint64) (revision.AcceptedSubmission, error) {
	if head.Revision == 0 {
		return revision.AcceptedSubmission{}, eris.New("no configuration has been submitted")
	}
	if n == 0 {
		n = head.Revision
	}
	for _, s := range head.Submissions {
		if s.Revision == n {
			return s, nil
		}
	}
	return revision.AcceptedSubmission{}, eris.Errorf("revision %d is not among the last %d", n, len(head.Submissions))
}

// storedConfiguration is a document from the store with its submission record.
type storedConfiguration struct {
	revision.AcceptedSubmission
	Document operator.Document `json:"document"`

	base uint64 // Revision in force; submitting an older document on this base reverts to it.
	yaml []byte
}

func (g storedConfiguration) table(w io.Writer) {
	_, _ = fmt.Fprintf(w, "# revision: %d\n# base-revision: %d\n%s", g.Revision, g.base, g.yaml)
}
