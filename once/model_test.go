package once_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/once"
	"clovertrail.dev/store"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 3000, 150) }

const (
	boxes = 3
	keys  = 2
	term  = 5 * time.Minute
)

// world is a small system of holders whose every step is drawn: which message
// arrives when, who dies, who is thought to be dead, what the platform does.
type world struct {
	now     time.Time
	table   once.Table
	nextInc domain.Incarnation
	nextVer store.Version
	boxes   [boxes]*process
	copies  []flying            // copies under way
	granted map[once.Key]string // the request that may run, if it was not released
	lapse   map[once.Member]time.Time
	serial  int
}

type process struct {
	member once.Member
	hall   domain.HallName
	holder *once.Holder
	lease  time.Time
}

// flying is a copy or a whole memory on its way to a backup.
type flying struct {
	from  *process
	copy  once.Copy
	whole []once.Entry
	sync  bool
	// settles marks the copy of a settlement, whose acknowledgement grants nothing.
	settles bool
}

func newWorld() *world {
	w := &world{now: time.Unix(1_800_000_000, 0), granted: map[once.Key]string{}, lapse: map[once.Member]time.Time{}}
	for i := range w.boxes {
		w.start(i)
	}
	w.nextVer++
	w.table = once.First(w.live()).WithVersion(w.nextVer)
	for _, p := range w.boxes {
		p.holder.Adopt(w.table)
	}
	return w
}

func (w *world) start(i int) {
	w.nextInc++
	m := once.Member{Box: domain.BoxID(fmt.Sprintf("entry-%d", i)), Incarnation: w.nextInc}
	w.boxes[i] = &process{member: m, hall: domain.HallName(fmt.Sprintf("hall-%d", i%2)), holder: once.NewHolder(m, 1<<20)}
	w.renew(w.boxes[i])
}

func (w *world) renew(p *process) {
	p.lease = w.now.Add(term - term/8)
	p.holder.Lease(p.lease)
	w.lapse[p.member] = w.now.Add(term)
}

func (w *world) live() []once.Live {
	var list []once.Live
	for _, p := range w.boxes {
		list = append(list, once.Live{Member: p.member, Hall: p.hall})
	}
	return list
}

func key(i int) once.Key { return once.Key{Org: "league", Text: fmt.Sprintf("key-%d", i)} }

// write tries to put the next table; a stale one is refused by its version.
func (w *world) write(p *process, t once.Table, answerLost bool) {
	if t.Version() != w.table.Version() {
		return
	}
	w.nextVer++
	w.table = t.WithVersion(w.nextVer)
	if !answerLost {
		p.holder.Adopt(w.table)
	}
}

func (w *world) grant(rt *rapid.T, k once.Key, request string) {
	if before, ok := w.granted[k]; ok {
		rt.Fatalf("key %s was granted to %s and then to %s", k.Text, before, request)
	}
	w.granted[k] = request
}

func (w *world) decide(rt *rapid.T, p *process, r once.Request) {
	switch d := p.holder.Claim(w.now, r).(type) {
	case once.Copy:
		w.copies = append(w.copies, flying{from: p, copy: d})
	case once.Granted:
		w.grant(rt, r.Key, r.ID)
	}
}

// land delivers a message under way: to its backup, and the answer back unless it
// is lost.
func (w *world) land(rt *rapid.T, f flying, lost, answerLost bool) {
	accepted := false
	if !lost {
		accepted = w.accept(f)
	}
	accepted = accepted && !answerLost
	if f.sync {
		if accepted {
			f.from.holder.Synced(f.copy.Shard, f.copy.Epoch)
		}
		return
	}
	if f.settles {
		return
	}
	if _, ok := f.from.holder.Copied(w.now, f.copy, accepted).(once.Granted); ok && w.alive(f.from) {
		w.grant(rt, f.copy.Entry.Key, f.copy.Entry.Request)
	}
}

func (w *world) accept(f flying) bool {
	for _, p := range w.boxes {
		if p.member == f.copy.Backup {
			entries := f.whole
			if !f.sync {
				entries = []once.Entry{f.copy.Entry}
			}
			return p.holder.Accept(w.now, f.copy.Shard, f.copy.Epoch, entries, f.sync)
		}
	}
	return false
}

func (w *world) alive(p *process) bool {
	for _, x := range w.boxes {
		if x == p {
			return true
		}
	}
	return false
}

// seen draws whom the process takes to be live: any set with itself in it.
func (w *world) seen(rt *rapid.T, p *process) (once.Live, []once.Live) {
	var self once.Live
	var list []once.Live
	for _, l := range w.live() {
		if l.Member == p.member {
			self = l
			list = append(list, l)
		} else if rapid.Bool().Draw(rt, "seen") {
			list = append(list, l)
		}
	}
	return self, list
}

func TestKeyIsGrantedOnceWhateverHappens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		actions := w.requests()
		maps.Copy(actions, w.changes())
		rt.Repeat(actions)
	})
}

func (w *world) pick(rt *rapid.T) *process {
	return w.boxes[rapid.IntRange(0, boxes-1).Draw(rt, "box")]
}

func drawKey(rt *rapid.T) once.Key { return key(rapid.IntRange(0, keys-1).Draw(rt, "key")) }

// primary draws a process that believes to be primary of the key's shard.
func (w *world) primary(rt *rapid.T, k once.Key) *process {
	for _, p := range w.boxes {
		m := p.holder.Table().Of(k.Shard(once.Shards)).Primary
		if m == p.member && rapid.IntRange(0, 3).Draw(rt, "this one") > 0 {
			return p
		}
	}
	return w.pick(rt)
}

// requests are what happens to requests and their messages.
func (w *world) requests() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"claim": func(rt *rapid.T) {
			w.serial++
			k := drawKey(rt)
			w.decide(rt, w.primary(rt, k), once.Request{
				Key: k, Digest: []byte("d"), ID: fmt.Sprintf("r%d", w.serial), Deadline: w.now.Add(time.Minute),
			})
		},
		"land": func(rt *rapid.T) {
			if len(w.copies) == 0 {
				rt.Skip("nothing is under way")
			}
			i := rapid.IntRange(0, len(w.copies)-1).Draw(rt, "message")
			f := w.copies[i]
			w.copies = append(w.copies[:i:i], w.copies[i+1:]...)
			w.land(rt, f, rapid.Bool().Draw(rt, "lost"), rapid.Bool().Draw(rt, "answer lost"))
		},
		"all arrive": func(rt *rapid.T) {
			list := w.copies
			w.copies = nil
			for _, f := range list {
				w.land(rt, f, false, false)
			}
		},
		"settle": func(rt *rapid.T) {
			k := drawKey(rt)
			request, ok := w.granted[k]
			if !ok {
				rt.Skip("nothing is granted")
			}
			end := rapid.SampledFrom([]once.Stage{once.Ran, once.Released}).Draw(rt, "end")
			if end == once.Released {
				delete(w.granted, k)
			}
			p := w.primary(rt, k)
			if c, send := p.holder.Settle(k, request, end, nil); send {
				w.copies = append(w.copies, flying{from: p, copy: c, settles: true})
			}
		},
	}
}

// changes are what happens to the boxes and the table.
func (w *world) changes() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"die": func(rt *rapid.T) {
			if rapid.IntRange(0, 3).Draw(rt, "spared") > 0 {
				rt.Skip("not this time")
			}
			w.start(rapid.IntRange(0, boxes-1).Draw(rt, "box"))
		},
		"read": func(rt *rapid.T) { w.pick(rt).holder.Adopt(w.table) },
		"all read": func(rt *rapid.T) {
			for _, p := range w.boxes {
				p.holder.Adopt(w.table)
			}
		},
		"take over": func(rt *rapid.T) {
			p := w.pick(rt)
			self, live := w.seen(rt, p)
			if next, ok := p.holder.Survive(self, live); ok {
				w.write(p, next, rapid.Bool().Draw(rt, "answer lost"))
			}
		},
		"balance": func(rt *rapid.T) {
			p := w.pick(rt)
			_, live := w.seen(rt, p)
			if next, ok := p.holder.Balance(live); ok {
				w.write(p, next, rapid.Bool().Draw(rt, "answer lost"))
			}
		},
		"forget": func(rt *rapid.T) {
			p := w.pick(rt)
			self, live := w.seen(rt, p)
			var free []once.Shard
			for _, s := range p.holder.Orphans(self, live) {
				a := p.holder.Table().Of(s)
				if w.lapsed(p, a.Primary) && w.lapsed(p, a.Backup) {
					free = append(free, s)
				}
			}
			if len(free) > 0 {
				t := p.holder.Table()
				w.write(p, t.Forget(w.now, self, live, free), rapid.Bool().Draw(rt, "answer lost"))
			}
		},
		"sync": func(rt *rapid.T) {
			p := w.pick(rt)
			for _, s := range p.holder.Syncs() {
				c := once.Copy{Shard: s.Shard, Epoch: s.Epoch, Backup: s.Backup}
				w.land(rt, flying{from: p, copy: c, whole: s.Entries, sync: true}, rapid.Bool().Draw(rt, "lost"), rapid.Bool().Draw(rt, "answer lost"))
			}
		},
		"renew": func(rt *rapid.T) { w.renew(w.pick(rt)) },
		"wait": func(rt *rapid.T) {
			// Within the time for which untimed keys are remembered.
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "s")) * time.Second)
		},
	}
}

func (w *world) lapsed(p *process, m once.Member) bool {
	return m == once.None || m == p.member || !w.now.Before(w.lapse[m])
}
