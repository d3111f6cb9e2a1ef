package orders

import "slices"

// Row lists the experts of one layer that one rank holds. It is encoded as an array,
// since a message contains many of them.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Layer   int      `json:"layer"`
	Rank    int      `json:"rank"`
	Experts []int    `json:"experts"`
}

// Diff returns the rows of p that differ from those of base; false if the two differ in
// their layers or ranks. Maps of large groups change in few rows, so only
// these rows are sent.
func (p Placement) Diff(base Placement) ([]Row, bool) {
	if len(p) != len(base) {
		return nil, false
	}
	rows := []Row{}
	for l := range p {
		if len(p[l]) != len(base[l]) {
			return nil, false
		}
		for r := range p[l] {
			if !slices.Equal(p[l][r], base[l][r]) {
				rows = append(rows, Row{Layer: l, Rank: r, Experts: p[l][r]})
			}
		}
	}
	return rows, true
}

// Apply returns a copy of p in which the rows are replaced; false if one of them has a
// layer or rank that p does not have. p is not modified.
func (p Placement) Apply(rows []Row) (Placement, bool) {
	out := make(Placement, len(p))
	for l := range p {
		out[l] = slices.Clone(p[l])
	}
	for _, row := range rows {
		if row.Layer < 0 || row.Layer >= len(out) || row.Rank < 0 || row.Rank >= len(out[row.Layer]) {
			return nil, false
		}
		out[row.Layer][row.Rank] = row.Experts
	}
	return out, true
}
