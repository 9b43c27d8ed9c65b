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

// Run prints the state as the instance answers.
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

// adminAddress returns the admin address of an instance given by its address or its id.
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
	for _, member := range entries(s["members"]) {
		address, ok := member["admin-address"].(string)
		if ok && (member["id"] == instance || member["name"] == instance) {
			return address, nil
		}
	}
	return "", eris.Errorf("instance %s knows no admin address of %q; give its address as IP:port", e.cfg.Admin, instance)
}

// table prints scalar members first, then a table for each member with entries.
func (s state) table(w io.Writer) {
	names := slices.Sorted(maps.Keys(s))
	for _, name := range names {
		if len(entries(s[name])) == 0 {
			row(w, name, compact(s[name]))
		}
	}
	for _, name := range names {
		if list := entries(s[name]); len(list) > 0 {
			heading(w, name)
			writeEntries(w, list)
		}
	}
}

// heading separates a table from the one before; the form feed ends the line and the alignment.
func heading(w io.Writer, name string) {
	_, _ = io.WriteString(w, "\n"+strings.ToUpper(name)+"\f")
}

func compact(raw json.RawMessage) string {
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
