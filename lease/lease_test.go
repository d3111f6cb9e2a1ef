package lease_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/lease"
	"clovertrail.dev/store"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 300, 0) }

const term = 30 * time.Second

// record is the platform as two holders see it: one record.
type record struct {
	record  lease.Record
	version store.Version
}

// TestNeverTwoHolders lets two holders act at drawn times with drawn pauses and
// lost answers, and checks that they never hold the lease at the same time.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		s := &record{}
		holders := []*lease.Lease{lease.New("k", "a", term), lease.New("k", "b", term)}
		held := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 12000).Draw(rt, "ms")) * time.Millisecond)
			l := holders[rapid.IntRange(0, 1).Draw(rt, "who")]
			sentAt := now
			pause := time.Duration(rapid.IntRange(0, 40).Draw(rt, "pause")) * time.Second * time.Duration(rapid.IntRange(0, 1).Draw(rt, "paused"))
			switch c := l.Next(now).(type) {
			case lease.Read:
				l.WasRead(now, s.record.Encode(), s.version, nil)
			case lease.Write:
				if c.Expect != s.version {
					l.WasWritten(sentAt, now.Add(pause), 0, store.ErrConflict)
					break
				}
				s.version++
				s.record = c.Record
				var err error
				if rapid.Bool().Draw(rt, "answer lost") {
					err = store.ErrUnknownOutcome
				}
				now = now.Add(pause)
				l.WasWritten(sentAt, now, s.version, err)
			}
			_, a := holders[0].Held(now)
			_, b := holders[1].Held(now)
			if a && b {
				rt.Fatal("both hold the lease")
			}
			if a || b {
				held++
			}
		}
		if held == 0 {
			rt.Skip("nobody ever held it")
		}
	})
}

func ExampleLease() {
	now := time.Unix(1_800_000_000, 0)
	l := lease.New("lease/g1", "entry-1", term)
	l.WasRead(now, nil, 0, store.ErrNotFound)
	c := l.Next(now).(lease.Write)
	l.WasWritten(now, now, 1, nil)
	_, held := l.Held(now.Add(20 * time.Second))
	_, lapsed := l.Held(now.Add(term))
	fmt.Println(c.Record.Holder, held, lapsed)
	// Output: entry-1 true false
}
