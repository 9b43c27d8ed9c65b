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

// submitCommand submits a file.
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
	s := revision.Submission{ID: c.ID, Author: c.Author, Base: baseOf(text), Document: doc, At: e.now().UTC()}
	if c.Base != nil {
		s.Base = *c.Base
	}
	if s.ID == "" {
		s.ID = rand.Text()
	}
	done, err := e.submit(ctx, s)
	if err != nil {
		return err
	}
	return e.print(accepted{done})
}

// accepted is the record of a submission.
type accepted struct {
	revision.AcceptedSubmission
}

func (a accepted) table(w io.Writer) {
	row(w, "REVISION", "DIGEST", "AUTHOR", "ID")
	row(w, a.Revision, short(a.Digest), a.Author, a.ID)
}

// readDocument reads and checks a file; the error may be operator.FieldErrors.
func (e *env) readDocument(path string) ([]byte, operator.Document, error) {
	text, err := readFile(path, e.std.in)
	if err != nil {
		return nil, operator.Document{}, err
	}
	doc, err := operator.Parse(text)
	return text, doc, err
}

// baseLine is the comment that get writes before the document.
var baseLine = regexp.MustCompile(`(?m)^# base-revision: ([0-9]{1,19})\s*$`)

// baseOf returns the revision that a file is based on, 0 when it does not say.
func baseOf(text []byte) uint64 {
	match := baseLine.FindSubmatch(text)
	if match == nil {
		return 0
	}
	n, err := strconv.ParseUint(string(match[1]), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// retryPause is the time between two attempts while the store does not answer.
const retryPause = 200 * time.Millisecond

// submit sends a submission until its outcome is known or the context is done. Attempts have the same id, so that at
// most one has an effect.
func (e *env) submit(ctx context.Context, s revision.Submission) (revision.AcceptedSubmission, error) {
	unknown := false
	for {
		done, err := revision.Submit(ctx, e.store, s)
		unknown = unknown || errors.Is(err, etcd.ErrOutcomeUnknown)
		if !transient(err) {
			return done, err
		}
		if e.pause(ctx, retryPause) == nil {
			continue
		}
		if unknown {
			return done, &unknownError{id: s.ID, cause: err}
		}
		return done, err
	}
}

// transient reports whether a call failed because the store does not answer or refuses calls for now.
func transient(err error) bool {
	return errors.Is(err, etcd.ErrOutcomeUnknown) || errors.Is(err, etcd.ErrUnavailable)
}

func (e *env) fetch(ctx context.Context, digest string) (operator.Document, error) {
	packed, err := revision.FetchDocument(ctx, e.store, digest)
	if err != nil {
		return operator.Document{}, err
	}
	doc, err := revision.DecodeDocument(packed, digest)
	return doc, eris.Wrapf(err, "configuration %s", short(digest))
}

// short returns the digits of a digest that tables show.
func short(digest string) string { return digest[:min(len(digest), 12)] }
