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

// statusCommand shows the configuration in force and the state of its rollouts, data centres and servers.
type statusCommand struct{}

// Run prints the status from the store and from the instance of --admin. When one of them cannot be read, Run prints
// the part of the other and returns an error.
func (c *statusCommand) Run(ctx context.Context, e *env) error {
	var s status
	err := errors.Join(e.addConfiguration(ctx, &s), e.addInstances(ctx, &s))
	if s.Revision == 0 && s.Instances == nil && err != nil {
		return err
	}
	return errors.Join(e.print(s), err)
}

// status is the output of the status command.
type status struct {
	Revision       uint64                `json:"revision"`
	Digest         string                `json:"digest"`
	Rollouts       []rolloutStatus       `json:"rollouts,omitempty"`
	DataCentres    []dataCentreStatus    `json:"data-centres,omitempty"`
	BackendServers []backendServerStatus `json:"backend-servers,omitempty"`
	Instances      []map[string]any      `json:"instances,omitempty"` // Members as listed by the instance of --admin.
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

type backendServerStatus struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data-centre"`
	Version    string `json:"version"`
	Limit      int    `json:"limit"`
	State      string `json:"state"`
}

func (e *env) addConfiguration(ctx context.Context, s *status) error {
	head, doc, err := e.currentConfiguration(ctx)
	if err != nil {
		return err
	}
	s.Revision, s.Digest = head.Revision, head.Digest
	records, err := e.rollouts(ctx)
	for _, r := range doc.Routes {
		if r.Rollout != nil {
			s.Rollouts = append(s.Rollouts, newRolloutStatus(r, records))
		}
	}
	s.addServers(doc)
	return err
}

func newRolloutStatus(r operator.Route, records rolloutRecords) rolloutStatus {
	record, ok := records[r.Rollout.ID]
	if !ok {
		record.State = "unknown" // The rollout has not begun, or its record cannot be decoded.
	}
	return rolloutStatus{
		Route: r.Name, ID: r.Rollout.ID, From: r.Version, To: r.Rollout.To, Share: record.Share, State: record.State,
		Deadline: r.Rollout.Deadline,
	}
}

func (s *status) addServers(doc operator.Document) {
	outOfService := map[string]bool{}
	serverCounts := map[string]int{}
	for _, dc := range doc.DataCentres {
		outOfService[dc.Name] = dc.OutOfService
	}
	for _, b := range doc.BackendServers {
		serverCounts[b.DataCentre]++
		s.BackendServers = append(s.BackendServers, backendServerStatus{
			Name: b.Name, Pool: b.Pool, DataCentre: b.DataCentre, Version: b.Version, Limit: b.Limit,
			State: serverState(b.Leaving, outOfService[b.DataCentre]),
		})
	}
	for _, dc := range doc.DataCentres {
		state := "in-service"
		if dc.OutOfService {
			state = "out-of-service"
		}
		s.DataCentres = append(s.DataCentres, dataCentreStatus{
			Name: dc.Name, Region: dc.Region, State: state, Servers: serverCounts[dc.Name],
		})
	}
}

func serverState(leaving, dataCentreOut bool) string {
	switch {
	case leaving:
		return "leaving"
	case dataCentreOut:
		return "data-centre-out"
	default:
		return "in-service"
	}
}

// addInstances adds the instances and the rollbacks that the instance of --admin reports. It does nothing when no admin
// address is configured.
func (e *env) addInstances(ctx context.Context, s *status) error {
	if e.cfg.Admin == "" {
		return nil
	}
	st, err := e.state(ctx)
	if err != nil {
		return err
	}
	s.Instances = st.instances()
	s.applyRollbackMarks(st)
	return nil
}

// applyRollbackMarks sets the state of rollouts that the instance has marked as rolled back, which it may know before
// the store does.
func (s *status) applyRollbackMarks(st state) {
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
	writeRow(w, fmt.Sprintf("revision %d, digest %s", s.Revision, cellText(shortDigest(s.Digest))))
	writeHeading(w, "rollouts")
	writeRow(w, "ROUTE", "ID", "FROM", "TO", "SHARE", "STATE", "DEADLINE")
	for _, r := range s.Rollouts {
		writeRow(w, r.Route, r.ID, r.From, r.To, r.Share, r.State, r.Deadline.Format(time.RFC3339))
	}
	writeHeading(w, "data-centres")
	writeRow(w, "NAME", "REGION", "STATE", "BACKEND-SERVERS")
	for _, d := range s.DataCentres {
		writeRow(w, d.Name, d.Region, d.State, d.Servers)
	}
	writeHeading(w, "backend-servers")
	writeRow(w, "NAME", "POOL", "DATA-CENTRE", "VERSION", "LIMIT", "STATE")
	for _, b := range s.BackendServers {
		writeRow(w, b.Name, b.Pool, b.DataCentre, b.Version, b.Limit, b.State)
	}
	if len(s.Instances) > 0 {
		writeHeading(w, "instances")
		writeEntries(w, s.Instances)
	}
}
