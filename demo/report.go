package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// report holds the results of a run as they are printed.
type report struct {
	Site       string      `json:"site"`
	Seconds    float64     `json:"seconds"`
	Seed       uint64      `json:"seed"`
	Shares     []share     `json:"shares"`
	Guarantees []guarantee `json:"guarantees"`
	Failures   []string    `json:"failures,omitempty"`
}

// share summarises the requests of one team in one tier.
type share struct {
	Tier    string         `json:"tier"`
	Team    string         `json:"team"`
	Sent    int            `json:"sent"`
	Whole   int            `json:"whole"`
	Tokens  int            `json:"tokens"`
	Refused map[string]int `json:"refused,omitempty"` // Number of failed requests by problem type; "connection" counts requests without a response.
	First50 float64        `json:"first-token-p50-ms"`
	First95 float64        `json:"first-token-p95-ms"`
}

// guarantee is a guarantee of design 1.2 with the number of checks and violations.
type guarantee struct {
	Number     int    `json:"number"`
	Text       string `json:"text"`
	Checked    int    `json:"checked"`
	Violations int    `json:"violations"`
}

// violations returns the violations of all guarantees plus the number of faults that could not be injected.
func (r report) violations() int {
	n := len(r.Failures)
	for _, g := range r.Guarantees {
		n += g.Violations
	}
	return n
}

// print writes the report as a table or as JSON.
func (r report) print(w io.Writer, format string) error {
	if format == "json" {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "%s, %.0f s, seed %d\n\ntier\tteam\tsent\twhole\ttokens/s\tfirst token p50\tp95\trefused\n", r.Site, r.Seconds, r.Seed)
	for _, s := range r.Shares {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.0f\t%.0f ms\t%.0f ms\t%v\n",
			s.Tier, s.Team, s.Sent, s.Whole, float64(s.Tokens)/r.Seconds, s.First50, s.First95, s.Refused)
	}
	_, _ = fmt.Fprintln(t, "\nno.\tguarantee\tchecked\tviolations")
	for _, g := range r.Guarantees {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%d\t%d\n", g.Number, g.Text, g.Checked, g.Violations)
	}
	for _, f := range r.Failures {
		_, _ = fmt.Fprintln(t, "failed:", f)
	}
	return t.Flush()
}

// report computes the report of a finished run.
func (r *demoRun) report() report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := report{Site: r.site.Name, Seconds: r.opts.For.Seconds(), Seed: r.opts.Seed, Failures: r.observed.failures}
	for tier, name := range r.site.Tiers {
		for _, t := range r.site.Teams {
			out.Shares = append(out.Shares, r.share(name, t.Name, func(x result) bool { return !x.order && x.tier == tier && x.team == t.Name }))
		}
	}
	out.Shares = append(out.Shares, r.share(r.site.Orders, "all", func(x result) bool { return x.order }))
	out.Guarantees = r.guarantees()
	return out
}

// share summarises the results that in selects.
func (r *demoRun) share(tier, team string, in func(result) bool) share {
	s := share{Tier: tier, Team: team, Refused: map[string]int{}}
	first := hdrhistogram.New(1, 60_000, 3)
	for _, x := range r.results {
		if !in(x) {
			continue
		}
		s.Sent++
		switch {
		case x.err != nil:
			s.Refused["connection"]++
		case x.answer.Type != "":
			s.Refused[x.answer.Type]++
		case x.answer.Complete:
			s.Whole++
			s.Tokens += x.answer.OutputTokens
		}
		if !x.answer.FirstTokenReceived.IsZero() {
			_ = first.RecordValue(max(1, x.answer.FirstTokenReceived.Sub(x.answer.Sent).Milliseconds()))
		}
	}
	s.First50, s.First95 = float64(first.ValueAtQuantile(50)), float64(first.ValueAtQuantile(95))
	return s
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.1f s", d.Seconds()) }
