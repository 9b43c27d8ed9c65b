package main

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"regexp"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/mustardseam/mustardseam/mustardseam/etcd"
	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// submitCommand submits a configuration file.
type submitCommand struct {
	File   string  `arg:"" optional:"" default:"-" help:"YAML or JSON file; - reads standard input."`
	Base   *uint64 `help:"Revision that the file is based on; default: the one that get wrote into the file, or 0 for the first."`
	ID     string  `help:"Id of the submission; repeating a submission with its id never has a second effect." name:"id"`
	Author string  `help:"Author of the change." env:"USER" default:"unknown"`
}

// Run submits the file and prints the accepted revision.
func (c *submitCommand) Run(ctx context.Context, e *env) error {
	text, doc, err := e.readDocument(c.File)
	if err != nil {
		return err
	}
	s := revision.Submission{ID: c.ID, Author: c.Author, Base: baseRevision(text), Document: doc, At: e.now().UTC()}
	if c.Base != nil {
		s.Base = *c.Base
	}
	if s.ID == "" {
		s.ID = rand.Text()
	}
	record, err := e.submit(ctx, s)
	if err != nil {
		return err
	}
	return e.print(acceptedResult{record})
}

// acceptedResult is the output for an accepted submission.
type acceptedResult struct {
	revision.AcceptedSubmission
}

func (a acceptedResult) table(w io.Writer) {
	writeRow(w, "REVISION", "DIGEST", "AUTHOR", "ID")
	writeRow(w, a.Revision, shortDigest(a.Digest), a.Author, a.ID)
}

// readDocument reads, parses and validates a file; the error may be operator.FieldErrors.
func (e *env) readDocument(path string) ([]byte, operator.Document, error) {
	text, err := readFile(path, e.std.in)
	if err != nil {
		return nil, operator.Document{}, err
	}
	doc, err := operator.Parse(text)
	return text, doc, err
}

// baseRevisionLine matches the comment with the base revision that get prints before the document.
var baseRevisionLine = regexp.MustCompile(`(?m)^# base-revision: ([0-9]{1,19})\s*$`)

// baseRevision returns the base revision in the comment of a file, or 0 when the file has none.
func baseRevision(text []byte) uint64 {
	match := baseRevisionLine.FindSubmatch(text)
	if match == nil {
		return 0
	}
	n, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// retryInterval is the time between two attempts while the store does not respond.
const retryInterval = 200 * time.Millisecond

// submit retries a submission until its outcome is known or the context is done. All attempts have the same ID, so at
// most one has an effect.
func (e *env) submit(ctx context.Context, s revision.Submission) (revision.AcceptedSubmission, error) {
	unknown := false
	for {
		record, err := revision.Submit(ctx, e.store, s)
		unknown = unknown || errors.Is(err, etcd.ErrOutcomeUnknown)
		if !isTransient(err) {
			if unknown && err != nil && !isDefinite(err) {
				return record, &outcomeUnknownError{id: s.ID, cause: err}
			}
			return record, err
		}
		if e.sleep(ctx, retryInterval) == nil {
			continue
		}
		if unknown {
			return record, &outcomeUnknownError{id: s.ID, cause: err}
		}
		return record, err
	}
}

// isDefinite reports whether an error tells the outcome of all attempts: another submission was accepted instead, so that no
// earlier attempt can take effect any more.
func isDefinite(err error) bool {
	var conflict *revision.ConflictError
	var reused *revision.ReusedIDError
	return errors.As(err, &conflict) || errors.As(err, &reused)
}

// isTransient reports whether a call failed because the store does not respond or temporarily refuses calls.
func isTransient(err error) bool {
	return errors.Is(err, etcd.ErrOutcomeUnknown) || errors.Is(err, etcd.ErrUnavailable)
}

func (e *env) fetchDocument(ctx context.Context, digest string) (operator.Document, error) {
	packed, err := revision.FetchDocument(ctx, e.store, digest)
	if err != nil {
		return operator.Document{}, err
	}
	doc, err := revision.DecodeDocument(packed, digest)
	return doc, eris.Wrapf(err, "configuration %s", shortDigest(digest))
}

// shortDigest returns the first 12 digits of a digest, which tables show.
func shortDigest(digest string) string { return digest[:min(len(digest), 12)] }
