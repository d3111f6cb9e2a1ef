package once

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/store"
)

// TableKey is the key of the table in the platform.
const TableKey = "once/table"

// Shards is the number of shards.
const Shards = 64

// Member is a process that can hold shards: a box and its incarnation, since a
// process that starts again has forgotten everything.
type Member struct {
	Box         domain.BoxID       `json:"box"`
	Incarnation domain.Incarnation `json:"incarnation"`
}

// None stands for no member.
var None Member

// Assignment says who holds a shard.
type Assignment struct {
	Epoch   uint64 `json:"epoch"`
	Primary Member `json:"primary"`
	Backup  Member `json:"backup"`
	// ForgotAt is when the shard was last taken with an empty memory.
	ForgotAt time.Time `json:"forgot_at,omitzero"`
}

// Has tells whether the member holds the shard.
func (a Assignment) Has(m Member) bool { return m != None && (a.Primary == m || a.Backup == m) }

// Table says who holds each shard.
type Table struct {
	version store.Version
	shards  []Assignment
}

// DecodeTable reads the stored form, which has the version.
func DecodeTable(raw []byte, v store.Version) (Table, error) {
	var shards []Assignment
	if err := json.Unmarshal(raw, &shards); err != nil {
		return Table{}, fault.New(fault.InvalidObject, "%s: %v", TableKey, err)
	}
	if len(shards) != Shards {
		return Table{}, fault.New(fault.InvalidObject, "%s: %d shards instead of %d", TableKey, len(shards), Shards)
	}
	return Table{version: v, shards: shards}, nil
}

// Encode gives the stored form.
func (t Table) Encode() []byte {
	raw, _ := json.Marshal(t.shards) // plain fields always have a form
	return raw
}

// Version is the platform's version of the table.
func (t Table) Version() store.Version { return t.version }

// WithVersion returns the table as it was stored at the version.
func (t Table) WithVersion(v store.Version) Table {
	t.version = v
	return t
}

// Of says who holds the shard.
func (t Table) Of(s Shard) Assignment {
	if int(s) >= len(t.shards) {
		return Assignment{}
	}
	return t.shards[s]
}

// Live is a member that can be given shards, with its data hall.
type Live struct {
	Member Member
	Hall   domain.HallName
}

// First returns the first table ever, dividing the shards among the members. It
// is right only if the platform has no table yet, which the write must check.
func First(live []Live) Table {
	t := Table{shards: make([]Assignment, Shards)}
	for s := range t.shards {
		order := ranked(Shard(s), live)
		t.shards[s] = Assignment{Epoch: 1, Primary: order[0].Member, Backup: backupFor(order[0], order[1:])}
	}
	return t
}

// ranked orders the members by rendezvous hashing for the shard.
func ranked(s Shard, live []Live) []Live { return Ranked(string(rune(s)), live) }

// Ranked orders the members by rendezvous hashing for the name: every box that
// sees the same members works out the same order.
func Ranked(name string, live []Live) []Live {
	list := append([]Live(nil), live...)
	hash := func(l Live) uint64 {
		return xxhash.Sum64String(name + "/" + string(l.Member.Box))
	}
	sort.SliceStable(list, func(i, j int) bool { return hash(list[i]) > hash(list[j]) })
	return list
}

// backupFor prefers a member of another data hall, so that the loss of a hall
// leaves a memory.
func backupFor(primary Live, others []Live) Member {
	for _, o := range others {
		if o.Hall != primary.Hall && o.Member != primary.Member {
			return o.Member
		}
	}
	for _, o := range others {
		if o.Member != primary.Member {
			return o.Member
		}
	}
	return None
}

// survivorOf returns the table in which self takes over the shards of which it
// is the one live holder with a whole memory, or which lack a backup although
// there are others; and whether that changes anything.
func (t Table) survivorOf(self Live, live []Live, whole func(Shard) bool) (Table, bool) {
	alive := map[Member]bool{}
	for _, l := range live {
		alive[l.Member] = true
	}
	next := Table{version: t.version, shards: append([]Assignment(nil), t.shards...)}
	changed := false
	for s, a := range t.shards {
		other := a.Primary
		if a.Primary == self.Member {
			other = a.Backup
		}
		if !a.Has(self.Member) || alive[other] || !whole(Shard(s)) {
			continue
		}
		backup := backupFor(self, ranked(Shard(s), live))
		if backup == None && a.Primary == self.Member && a.Backup == None {
			continue
		}
		next.shards[s] = Assignment{Epoch: a.Epoch + 1, Primary: self.Member, Backup: backup, ForgotAt: a.ForgotAt}
		changed = true
	}
	return next, changed
}

// orphans returns the shards of which no live holder has the whole memory, as far
// as self can tell, and for which self is the one to act.
func (t Table) orphans(self Live, live []Live, whole func(Shard) bool) []Shard {
	alive := map[Member]bool{}
	for _, l := range live {
		alive[l.Member] = true
	}
	var list []Shard
	for s, a := range t.shards {
		if t.mayTake(a, alive, self, whole(Shard(s))) && t.firstToAct(Shard(s), a, self, live) {
			list = append(list, Shard(s))
		}
	}
	return list
}

// mayTake tells whether nobody else who is live holds the shard, and self does
// not hold it whole.
func (t Table) mayTake(a Assignment, alive map[Member]bool, self Live, whole bool) bool {
	for _, m := range []Member{a.Primary, a.Backup} {
		if m != self.Member && alive[m] {
			return false
		}
	}
	return !whole
}

func (t Table) firstToAct(s Shard, a Assignment, self Live, live []Live) bool {
	return a.Has(self.Member) || ranked(s, live)[0].Member == self.Member
}

// Forget returns the table in which self takes the shards with an empty memory at
// the time. It is right only if the leases of all their holders have lapsed.
func (t Table) Forget(at time.Time, self Live, live []Live, shards []Shard) Table {
	next := Table{version: t.version, shards: append([]Assignment(nil), t.shards...)}
	for _, s := range shards {
		next.shards[s] = Assignment{
			Epoch: t.shards[s].Epoch + 1, Primary: self.Member,
			Backup: backupFor(self, ranked(s, live)), ForgotAt: at,
		}
	}
	return next
}
