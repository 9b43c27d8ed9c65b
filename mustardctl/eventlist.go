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

// Kinds of events.
const (
	eventDataCentreOut  = "data-centre-out"
	eventDataCentreBack = "data-centre-back"
	rolloutKindPrefix   = "rollout-" // Prefix for the kinds of events in a rollout record.
)

// event is a state change of a rollout or a data centre.
type event struct {
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"`
	Subject  string    `json:"subject"`
	Revision uint64    `json:"revision,omitempty"` // Revision that changed the data centre's state; 0 for rollout events.
	Detail   string    `json:"detail,omitempty"`   // Author of the revision, or the text of the rollout event.
}

// events returns all events that the store retains, oldest first: those in the rollout records, and the data centre
// changes between the revisions listed in the head.
func (e *env) events(ctx context.Context, docs *documentCache) ([]event, error) {
	records, err := e.rollouts(ctx)
	if err != nil {
		return nil, err
	}
	var list []event
	for _, id := range slices.Sorted(maps.Keys(records)) {
		for _, ev := range records[id].Events {
			list = append(list, event{At: ev.Time.UTC(), Kind: rolloutKindPrefix + string(ev.Kind), Subject: id, Detail: ev.Text})
		}
	}
	dataCentreEvents, err := e.dataCentreEvents(ctx, docs)
	if err != nil {
		return nil, err
	}
	list = append(list, dataCentreEvents...)
	slices.SortStableFunc(list, func(a, b event) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Revision, b.Revision)) })
	return list, nil
}

func (e *env) dataCentreEvents(ctx context.Context, docs *documentCache) ([]event, error) {
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
		list = append(list, dataCentreChanges(before, after, head.Submissions[i])...)
	}
	return list, nil
}

// dataCentreChanges returns an event for each data centre that was taken out of service or returned to service between
// the documents. A new data centre counts only when it is out of service.
func dataCentreChanges(before, after operator.Document, s revision.AcceptedSubmission) []event {
	outOfService := map[string]bool{}
	for _, dc := range before.DataCentres {
		outOfService[dc.Name] = dc.OutOfService
	}
	var list []event
	for _, dc := range after.DataCentres {
		wasOut, known := outOfService[dc.Name]
		if !known && !dc.OutOfService || wasOut == dc.OutOfService {
			continue
		}
		kind := eventDataCentreBack
		if dc.OutOfService {
			kind = eventDataCentreOut
		}
		list = append(list, event{At: s.At.UTC(), Kind: kind, Subject: dc.Name, Revision: s.Revision, Detail: s.Author})
	}
	return list
}

// documentCache caches documents by digest, so that --follow reads each one only once.
type documentCache struct {
	byDigest map[string]operator.Document
}

func (d *documentCache) get(ctx context.Context, e *env, digest string) (operator.Document, error) {
	if doc, ok := d.byDigest[digest]; ok {
		return doc, nil
	}
	doc, err := e.fetchDocument(ctx, digest)
	if err == nil {
		if d.byDigest == nil {
			d.byDigest = map[string]operator.Document{}
		}
		d.byDigest[digest] = doc
	}
	return doc, err
}

// eventList is the output of the events command.
type eventList struct {
	Events []event `json:"events,omitempty"`
}

func (l eventList) table(w io.Writer) {
	writeRow(w, "AT", "KIND", "SUBJECT", "REVISION", "DETAIL")
	for _, ev := range l.Events {
		ev.table(w)
	}
}

func (ev event) table(w io.Writer) {
	revisionText := ""
	if ev.Revision > 0 {
		revisionText = strconv.FormatUint(ev.Revision, 10)
	}
	writeRow(w, ev.At.Format(time.RFC3339), ev.Kind, ev.Subject, revisionText, ev.Detail)
}
