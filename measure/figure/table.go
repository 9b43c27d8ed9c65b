package figure

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// Column holds the figures of one scheduler.
type Column struct {
	Scheduler string
	Figures   []Figure
}

// Print writes a table with one line per figure of the first column and the values of all columns side by side.
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
		fmt.Fprintln(tw, strings.Join(append(cells, f.boundCells()...), "\t"))
	}
	return tw.Flush()
}

func (c Column) value(name string) string {
	for _, f := range c.Figures {
		if f.Name == name {
			return strings.TrimSpace(formatNumber(f.Value) + " " + f.Unit)
		}
	}
	return "-"
}

func (f Figure) boundCells() []string {
	if f.Relation == Unbounded {
		return []string{"-", "-", "-"}
	}
	holds := "yes"
	if !f.Holds() {
		holds = "NO"
	}
	return []string{string(f.Relation) + " " + formatNumber(f.Bound), f.Source, holds}
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// jsonFigure is the JSON form of a figure. NaN and infinite values are null.
type jsonFigure struct {
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
	lines := []jsonFigure{}
	for _, c := range columns {
		for _, f := range c.Figures {
			l := jsonFigure{Scheduler: c.Scheduler, Name: f.Name, Unit: f.Unit, Relation: f.Relation, Source: f.Source, Holds: f.Holds()}
			if !math.IsNaN(f.Value) && !math.IsInf(f.Value, 0) {
				l.Value = &f.Value
			}
			if f.Relation != Unbounded {
				l.Bound = &f.Bound
			}
			lines = append(lines, l)
		}
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(lines)
}
