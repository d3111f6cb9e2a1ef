// Package membership tracks which targets may get new work and which other entry boxes exist, and
// selects the boxes from which the status of targets is requested.
//
// A Roster merges the platform's list of targets, updates of that list from other boxes, the reports
// of targets about themselves, and the outcomes of attempts into a standing of each target. Boxes
// is the table of the other entry boxes; AdvertRounds decides when they are sent adverts, and from which
// of them updates are pulled. HallMember decides what a box does for its data hall, and HallReporters which
// box is queried about each other hall. None of them does I/O or reads a clock.
//
// # Usage
//
//	r := membership.NewRoster(box, membership.DefaultRosterPolicy(drain))
//	r.ApplyList(now, at, updates)   // from the store or another box
//	r.Reported(at, id, rank, step, working)
//	r.Failed(now, id)               // the outcome of an attempt
//	for _, x := range r.Ranked(now, service) { ... } // the best standing first
package membership
