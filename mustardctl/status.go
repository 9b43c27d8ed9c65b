package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mustardseam/mustardseam/mustardseam/rollout"
	"github.com/mustardseam/mustardseam/operator"
)

// statusCommand shows the configuration in force and what became of it.
type statusCommand struct{}

// Run prints what the store and the instance of --admin know; when one of them cannot be read, it prints the other's
// part and fails.
func (c *statusCommand) Run(ctx context.Context, e *env) error {
	var s status
	err := errors.Join(e.addStore(ctx, &s), e.addInstances(ctx, &s))
	if s.Revision == 0 && s.Instances == nil && err != nil {
		return err
	}
	return errors.Join(e.print(s), err)
}

// status is the configuration in force, with the state of its parts.
type status struct {
	Revision       uint64             `json:"revision"`
	Digest         string             `json:"digest"`
	Rollouts       []rolloutStatus    `json:"rollouts,omitempty"`
	DataCentres    []dataCentreStatus `json:"data-centres,omitempty"`
	BackendServers []serverStatus     `json:"backend-servers,omitempty"`
	Instances      []map[string]any   `json:"instances,omitempty"` // As the instance of --admin lists them.
}

type rolloutStatus struct {
	Route    string        `json:"route"`
	ID       string        `json:"id"`
	From     string        `json:"from"`
	To       string        `json:"to"`
	Share    float64       `json:"share"`
	State    rollout.State `json:"state"`
	Deadline time.Time     `json:"deadline"`
}

type dataCentreStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	State   string `json:"state"`
	Servers int    `json:"backend-servers"`
}

type serverStatus struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data-centre"`
	Version    string `json:"version"`
	Limit      int    `json:"limit"`
	State      string `json:"state"`
}

func (e *env) addStore(ctx context.Context, s *status) error {
	head, doc, err := e.current(ctx)
	if err != nil {
		return err
	}
	s.Revision, s.Digest = head.Revision, head.Digest
	records, err := e.rollouts(ctx)
	for _, r := range doc.Routes {
		if r.Rollout != nil {
			s.Rollouts = append(s.Rollouts, rolloutOf(r, records))
		}
	}
	s.addServers(doc)
	return err
}

func rolloutOf(r operator.Route, records rolloutRecords) rolloutStatus {
	record, ok := records[r.Rollout.ID]
	if !ok {
		record.State = "unknown" // Not begun, or its record cannot be read.
	}
	return rolloutStatus{
		Route: r.Name, ID: r.Rollout.ID, From: r.Version, To: r.Rollout.To, Share: record.Share, State: record.State,
		Deadline: r.Rollout.Deadline,
	}
}

func (s *status) addServers(doc operator.Document) {
	out := map[string]bool{}
	count := map[string]int{}
	for _, dc := range doc.DataCentres {
		out[dc.Name] = dc.OutOfService
	}
	for _, b := range doc.BackendServers {
		count[b.DataCentre]++
		s.BackendServers = append(s.BackendServers, serverStatus{
			Name: b.Name, Pool: b.Pool, DataCentre: b.DataCentre, Version: b.Version, Limit: b.Limit,
			State: serverState(b.Leaving, out[b.DataCentre]),
		})
	}
	for _, dc := range doc.DataCentres {
		state := "in-service"
		if dc.OutOfService {
			state = "out-of-service"
		}
		s.DataCentres = append(s.DataCentres, dataCentreStatus{
			Name: dc.Name, Region: dc.Region, State: state, Servers: count[dc.Name],
		})
	}
}

func serverState(leaving, centreOut bool) string {
	switch {
	case leaving:
		return "leaving"
	case centreOut:
		return "data-centre-out"
	default:
		return "in-service"
	}
}

// addInstances is without effect when no instance is named.
func (e *env) addInstances(ctx context.Context, s *status) error {
	if e.cfg.Admin == "" {
		return nil
	}
	st, err := e.state(ctx)
	if err != nil {
		return err
	}
	s.Instances = st.instances()
	s.addMarks(st)
	return nil
}

// addMarks shows a rollback that the instance knows before the store does.
func (s *status) addMarks(st state) {
	var marks []string
	if json.Unmarshal(st["marks"], &marks) != nil {
		return
	}
	for i, r := range s.Rollouts {
		if slices.Contains(marks, r.ID) {
			s.Rollouts[i].State = rollout.RolledBack
			s.Rollouts[i].Share = 0
		}
	}
}

func (s status) table(w io.Writer) {
	row(w, fmt.Sprintf("revision %d, digest %s", s.Revision, cellText(short(s.Digest))))
	heading(w, "rollouts")
	row(w, "ROUTE", "ID", "FROM", "TO", "SHARE", "STATE", "DEADLINE")
	for _, r := range s.Rollouts {
		row(w, r.Route, r.ID, r.From, r.To, r.Share, r.State, r.Deadline.Format(time.RFC3339))
	}
	heading(w, "data-centres")
	row(w, "NAME", "REGION", "STATE", "BACKEND-SERVERS")
	for _, d := range s.DataCentres {
		row(w, d.Name, d.Region, d.State, d.Servers)
	}
	heading(w, "backend-servers")
	row(w, "NAME", "POOL", "DATA-CENTRE", "VERSION", "LIMIT", "STATE")
	for _, b := range s.BackendServers {
		row(w, b.Name, b.Pool, b.DataCentre, b.Version, b.Limit, b.State)
	}
	if len(s.Instances) > 0 {
		heading(w, "instances")
		writeEntries(w, s.Instances)
	}
}
