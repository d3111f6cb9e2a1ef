package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// table consists of rows of text under an optional header.
type table struct {
	header []string
	rows   [][]string
}

// print writes the table with aligned columns.
func (a *app) print(t table) error {
	const columnGap = 2 // spaces between columns
	w := tabwriter.NewWriter(a.out, 0, 0, columnGap, ' ', 0)
	if len(t.header) > 0 {
		_, _ = fmt.Fprintln(w, strings.Join(t.header, "\t"))
	}
	for _, r := range t.rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}
