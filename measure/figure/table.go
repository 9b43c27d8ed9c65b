package figure

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Column is the figures of one scheduler.
type Column struct {
	Scheduler string
	Figures   []Figure
}

// Print writes one line per figure of the first column, with the values of the others beside it.
func Print(w io.Writer, columns ...Column) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"figure"}
	for _, c := range columns {
		head = append(head, c.Scheduler)
	}
	fmt.Fprintln(tw, strings.Join(append(head, "bound", "source", "holds"), "\t"))
	for _, f := range columns[0].Figures {
		cells := []string{f.Name}
		for _, c := range columns {
			cells = append(cells, c.value(f.Name))
		}
		fmt.Fprintln(tw, strings.Join(append(cells, f.limits()...), "\t"))
	}
	return tw.Flush()
}

func (c Column) value(name string) string {
	for _, f := range c.Figures {
		if f.Name == name {
			return strings.TrimSpace(number(f.Value) + " " + f.Unit)
		}
	}
	return "-"
}

func (f Figure) limits() []string {
	if f.Relation == Free {
		return []string{"-", "-", "-"}
	}
	holds := "yes"
	if !f.Holds() {
		holds = "NO"
	}
	return []string{string(f.Relation) + " " + number(f.Bound), f.Source, holds}
}

func number(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// line is a figure as it is printed in JSON, where a value that is not a number is null.
type line struct {
	Scheduler string   `json:"scheduler"`
	Name      string   `json:"name"`
	Value     *float64 `json:"value"`
	Unit      string   `json:"unit,omitempty"`
	Relation  Relation `json:"relation,omitempty"`
	Bound     *float64 `json:"bound,omitempty"`
	Source    string   `json:"source,omitempty"`
	Holds     bool     `json:"holds"`
}

// PrintJSON writes the figures of all columns as one JSON array.
func PrintJSON(w io.Writer, columns ...Column) error {
	lines := []line{}
	for _, c := range columns {
		for _, f := range c.Figures {
			l := line{Scheduler: c.Scheduler, Name: f.Name, Unit: f.Unit, Relation: f.Relation, Source: f.Source, Holds: f.Holds()}
			if !math.IsNaN(f.Value) && !math.IsInf(f.Value, 0) {
				l.Value = &f.Value
			}
			if f.Relation != Free {
				l.Bound = &f.Bound
			}
			lines = append(lines, l)
		}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(lines)
}
