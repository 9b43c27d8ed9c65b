package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// result is what a command prints, as JSON or as tables.
type result interface {
	table(w io.Writer)
}

func writeTable(out io.Writer, r result) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	r.table(w)
	return eris.Wrap(w.Flush(), "print result")
}

// row writes the cells of a line of a table; the writer's error is reported when it is flushed.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = cellText(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func cellText(cell any) string {
	text := fmt.Sprint(cell)
	if text == "" {
		return "-"
	}
	return strings.Map(printable, text)
}

// printable replaces what would break a table or reach the terminal as a control sequence.
func printable(r rune) rune {
	if r < ' ' || r >= 0x7f && r < 0xa0 {
		return '?'
	}
	return r
}
