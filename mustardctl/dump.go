package main

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// dumpCommand prints the state of one instance.
type dumpCommand struct {
	Instance string `arg:"" help:"Admin address as IP:port, or an instance id that the instance of --admin knows."`
}

// Run prints the state that the instance returns.
func (c *dumpCommand) Run(ctx context.Context, e *env) error {
	address, err := e.adminAddress(ctx, c.Instance)
	if err != nil {
		return err
	}
	s, err := e.states.State(ctx, address)
	if err != nil {
		return err
	}
	return e.print(s)
}

// adminAddress returns the admin address of an instance, which is given by that address or by its ID.
func (e *env) adminAddress(ctx context.Context, instance string) (string, error) {
	if _, err := netip.ParseAddrPort(instance); err == nil {
		return instance, nil
	}
	s, err := e.state(ctx)
	if err != nil {
		return "", eris.Wrapf(err, "look up instance %q", instance)
	}
	if s.text("instance") == instance {
		return e.cfg.Admin, nil
	}
	for _, member := range s.instances() {
		address, ok := member["admin-address"].(string)
		if ok && (member["id"] == instance || member["name"] == instance) {
			return address, nil
		}
	}
	return "", eris.Errorf("instance %s knows no admin address of %q; give its address as IP:port", e.cfg.Admin, instance)
}

// table prints scalar members first, then a table for each member that has entries.
func (s state) table(w io.Writer) { writeMembers(w, "", s) }

func writeMembers(w io.Writer, path string, members map[string]json.RawMessage) {
	names := slices.Sorted(maps.Keys(members))
	if path != "" {
		_, _ = io.WriteString(w, "\n")
	}
	for _, name := range names {
		if !nested(members[name]) {
			writeRow(w, path+name, compactText(members[name]))
		}
	}
	for _, name := range names {
		var object map[string]json.RawMessage
		switch list := entries(members[name]); {
		case len(list) > 0:
			writeHeading(w, path+name)
			writeEntries(w, list)
		case nested(members[name]) && json.Unmarshal(members[name], &object) == nil:
			writeMembers(w, path+name+".", object)
		}
	}
}

// nested reports whether a member is an object with members or a list of objects.
func nested(raw json.RawMessage) bool {
	var object map[string]json.RawMessage
	return len(entries(raw)) > 0 || json.Unmarshal(raw, &object) == nil && len(object) > 0
}

// writeHeading starts a new table; the form feed ends the line and resets the tabwriter's column alignment.
func writeHeading(w io.Writer, name string) {
	_, _ = io.WriteString(w, "\n"+strings.ToUpper(name)+"\f")
}

func compactText(raw json.RawMessage) string {
	var v any
	if err := json.Unmarshal(raw, &v); err != nil {
		return err.Error()
	}
	if text, ok := v.(string); ok {
		return text
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
