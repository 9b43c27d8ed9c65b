package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// result is the output of a command; it is printed as JSON or with table.
type result interface {
	table(w io.Writer)
}

func writeTable(out io.Writer, r result) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	r.table(w)
	return eris.Wrap(w.Flush(), "print result")
}

// writeRow writes one table row. Write errors are ignored here, because the tabwriter returns them from Flush.
func writeRow(w io.Writer, cells ...any) {
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
	return strings.Map(replaceControl, text)
}

// replaceControl replaces control characters, which could break a table or reach the terminal as a control sequence.
func replaceControl(r rune) rune {
	if r < ' ' || r >= 0x7f && r < 0xa0 {
		return '?'
	}
	return r
}
