// Package boxmetrics finds signs of overload in the metrics of one box: groups with a limit, callers refused
// by class, requests that wait for a group, groups with a high skew and with slow ranks.
//
// Entry boxes have the limits, refusals and waiting requests, agents that coordinate a group its skew and
// slow ranks. All of it is in the memory of the boxes; the store has none of it.
//
// # Usage
//
//	m, err := boxmetrics.Read(response.Body) // of class ErrInvalid if the text is not that of a box
//	for _, f := range m.Findings() {
//		fmt.Println(f.Subject, f.Text)
//	}
package boxmetrics
