package store

// Timeline is what a process knows of how far the store has come. It completes the positions
// of answers that do not state their era. It is not safe for concurrent use.
type Timeline struct {
	latest  Position
	doubted Era // the last stated one that was not accepted; zero if none was since
}

// Latest is the latest position that an answer or another process has reported.
func (t *Timeline) Latest() Position { return t.latest }

// Observe takes a reported position. It returns whether the era is a later one than before.
func (t *Timeline) Observe(p Position) (later bool) {
	later = p.Era() > t.latest.Era()
	t.latest = Later(t.latest, p)
	return later
}

// Accept reports whether an era that an answer states is to be believed. It rises by one with each
// restore; one that rises by more may be damaged, and has to be stated by two answers in a row.
func (t *Timeline) Accept(era Era) bool {
	known := t.latest.Era()
	if known == 0 || era <= known+1 || era == t.doubted {
		t.doubted = 0
		return true
	}
	t.doubted = era
	return false
}

// InferEra returns the listing with the era that it does not state, as an answer to a call made
// when the position sent was known. The store was at least at that position then, so the era is
// not an earlier one; and it is a later one if the revision went back.
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
		records = append(records, r.in(era))
	}
	l.Records = records
	return l
}

// InferEra returns the changes with the era that they do not state, as those after the position
// since. What they hold does not show whether the era is a later one.
func (c Changes) InferEra(since Position) Changes {
	if c.At.Era() > 0 {
		return c
	}
	era := since.Era()
	c.At = PositionOf(era, c.At.Revision())
	events := make([]Event, 0, len(c.Events))
	for _, e := range c.Events {
		events = append(events, Event{Record: e.Record.in(era), Removed: e.Removed})
	}
	c.Events = events
	return c
}

func (r Record) in(era Era) Record {
	r.At = PositionOf(era, r.At.Revision())
	return r
}
