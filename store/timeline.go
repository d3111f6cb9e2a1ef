package store

// Timeline tracks the latest position of the store that a process has observed, from which the era of
// a response that does not state it is inferred. It decides which stated eras are accepted. It is
// not safe for concurrent use.
type Timeline struct {
	latest      Position
	unconfirmed Era // the last stated era that was not accepted; zero if an era was accepted since
}

// Latest returns the latest observed position.
func (t *Timeline) Latest() Position { return t.latest }

// Observe records a position that the store or another process has reported. It returns whether its
// era is later than all before.
func (t *Timeline) Observe(p Position) (later bool) {
	later = p.Era() > t.latest.Era()
	t.latest = Later(t.latest, p)
	return later
}

// Accept reports whether the era that a response states is accepted. The era increases by one with
// each restore; a higher one may be damaged, and has to be stated by two responses in a row.
func (t *Timeline) Accept(era Era) bool {
	known := t.latest.Era()
	if known == 0 || era <= known+1 || era == t.unconfirmed {
		t.unconfirmed = 0
		return true
	}
	t.unconfirmed = era
	return false
}

// InferEra returns the listing with its era filled in if the response does not state it; sent is the
// latest position that was known when the call was made. The store had reached that position then,
// so the era is not an earlier one, and it is the next one if the revision is lower.
func (l Listing) InferEra(sent Position) Listing {
	if l.At.Era() > 0 {
		return l
	}
	era := sent.Era()
	if l.At.Revision() < sent.Revision() {
		era++
	}
	l.At = PositionOf(era, l.At.Revision())
	records := make([]Record, 0, len(l.Records))
	for _, r := range l.Records {
		records = append(records, r.withEra(era))
	}
	l.Records = records
	return l
}

// InferEra returns the changes with the era of the position since filled in if the response does not
// state an era. Their content does not show whether the era is a later one.
func (c Changes) InferEra(since Position) Changes {
	if c.At.Era() > 0 {
		return c
	}
	era := since.Era()
	c.At = PositionOf(era, c.At.Revision())
	events := make([]Event, 0, len(c.Events))
	for _, e := range c.Events {
		events = append(events, Event{Record: e.Record.withEra(era), Removed: e.Removed})
	}
	c.Events = events
	return c
}

func (r Record) withEra(era Era) Record {
	r.At = PositionOf(era, r.At.Revision())
	return r
}
