package main

import (
	"cmp"
	"context"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/revision"
	"github.com/mustardseam/mustardseam/operator"
)

// The kinds of events.
const (
	eventCentreOut  = "data-centre-out"
	eventCentreBack = "data-centre-back"
	rolloutKind     = "rollout-" // Before the events of a rollout's record.
)

// event is something that happened to a rollout or a data centre.
type event struct {
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"`
	Subject  string    `json:"subject"`
	Revision uint64    `json:"revision,omitempty"` // That took the data centre out or brought it back.
	Detail   string    `json:"detail,omitempty"`   // Author, or the text in the record.
}

// events reads all events that the store still tells of, the oldest first: those in the records of rollouts, and the
// changes of data centres between the revisions that the head remembers.
func (e *env) events(ctx context.Context, docs *documents) ([]event, error) {
	records, err := e.rollouts(ctx)
	if err != nil {
		return nil, err
	}
	var list []event
	for _, id := range slices.Sorted(maps.Keys(records)) {
		for _, ev := range records[id].Events {
			list = append(list, event{At: ev.Time.UTC(), Kind: rolloutKind + string(ev.Kind), Subject: id, Detail: ev.Text})
		}
	}
	moves, err := e.dataCentreEvents(ctx, docs)
	if err != nil {
		return nil, err
	}
	list = append(list, moves...)
	slices.SortStableFunc(list, func(a, b event) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Revision, b.Revision)) })
	return list, nil
}

func (e *env) dataCentreEvents(ctx context.Context, docs *documents) ([]event, error) {
	head, _, err := revision.ReadHead(ctx, e.store)
	if err != nil {
		return nil, err
	}
	var list []event
	for i := 1; i < len(head.Submissions); i++ {
		before, err := docs.get(ctx, e, head.Submissions[i-1].Digest)
		if err != nil {
			return nil, err
		}
		after, err := docs.get(ctx, e, head.Submissions[i].Digest)
		if err != nil {
			return nil, err
		}
		list = append(list, moved(before, after, head.Submissions[i])...)
	}
	return list, nil
}

// moved returns an event for each data centre of both documents that went out of service or came back.
func moved(before, after operator.Document, s revision.AcceptedSubmission) []event {
	out := map[string]bool{}
	for _, dc := range before.DataCentres {
		out[dc.Name] = dc.OutOfService
	}
	var list []event
	for _, dc := range after.DataCentres {
		was, known := out[dc.Name]
		if !known && !dc.OutOfService || was == dc.OutOfService {
			continue
		}
		kind := eventCentreBack
		if dc.OutOfService {
			kind = eventCentreOut
		}
		list = append(list, event{At: s.At.UTC(), Kind: kind, Subject: dc.Name, Revision: s.Revision, Detail: s.Author})
	}
	return list
}

// documents keeps documents by digest, so that following the events reads each one once.
type documents struct {
	byDigest map[string]operator.Document
}

func (d *documents) get(ctx context.Context, e *env, digest string) (operator.Document, error) {
	if doc, ok := d.byDigest[digest]; ok {
		return doc, nil
	}
	doc, err := e.fetch(ctx, digest)
	if err == nil {
		if d.byDigest == nil {
			d.byDigest = map[string]operator.Document{}
		}
		d.byDigest[digest] = doc
	}
	return doc, err
}

// eventList is printed as a table.
type eventList struct {
	Events []event `json:"events,omitempty"`
}

func (l eventList) table(w io.Writer) {
	row(w, "AT", "KIND", "SUBJECT", "REVISION", "DETAIL")
	for _, ev := range l.Events {
		ev.table(w)
	}
}

func (ev event) table(w io.Writer) {
	number := ""
	if ev.Revision > 0 {
		number = strconv.FormatUint(ev.Revision, 10)
	}
	row(w, ev.At.Format(time.RFC3339), ev.Kind, ev.Subject, number, ev.Detail)
}
