package once_test

import (
	"testing"
	"time"

	"github.com/google/uuid"

	"clovertrail.dev/core/fault"
	"clovertrail.dev/once"
	"clovertrail.dev/store"
)

func alone(t *testing.T, now time.Time) *once.Holder {
	t.Helper()
	self := once.Member{Box: "entry-1", Incarnation: 1}
	h := once.NewHolder(self, 1000)
	h.Lease(now.Add(time.Hour))
	h.Adopt(once.First([]once.Live{{Member: self, Hall: "bole-hall"}}).WithVersion(1))
	return h
}

func request(key, digest, id string, now time.Time) once.Request {
	return once.Request{Key: once.Key{Org: "league", Text: key}, Digest: []byte(digest), ID: id, Deadline: now.Add(time.Minute)}
}

func refusal(d once.Decision) fault.Kind {
	if r, ok := d.(once.Refused); ok {
		return r.Err.Kind()
	}
	return ""
}

func TestCopiesOfARequest(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	h := alone(t, now)
	if _, ok := h.Claim(now, request("k", "d", "r1", now)).(once.Granted); !ok {
		t.Fatal("the first claim was not granted")
	}
	if got := refusal(h.Claim(now, request("k", "d", "r2", now))); got != fault.DuplicateRunning {
		t.Errorf("while it runs: %s", got)
	}
	if got := refusal(h.Claim(now, request("k", "other", "r2", now))); got != fault.KeyReused {
		t.Errorf("with other content: %s", got)
	}
	h.Settle(once.Key{Org: "league", Text: "k"}, "r1", once.Ran, &once.Answer{Status: 200, Body: []byte("done")})
	if r, ok := h.Claim(now, request("k", "d", "r2", now)).(once.Replay); !ok || string(r.Answer.Body) != "done" {
		t.Errorf("after it ran: %v", r)
	}
}

func TestReleasedKeyMayBeClaimedAgain(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	h := alone(t, now)
	h.Claim(now, request("k", "d", "r1", now))
	h.Settle(once.Key{Org: "league", Text: "k"}, "r1", once.Released, nil)
	if _, ok := h.Claim(now, request("k", "d", "r2", now)).(once.Granted); !ok {
		t.Error("a released key was refused")
	}
	h.Settle(once.Key{Org: "league", Text: "k"}, "r1", once.Released, nil)
	if got := refusal(h.Claim(now, request("k", "d", "r3", now))); got != fault.DuplicateRunning {
		t.Errorf("a late release of the first request freed the second one's key: %s", got)
	}
}

func TestHeldAnswersAreBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	h := alone(t, now)
	for _, k := range []string{"a", "b", "c"} {
		h.Claim(now, request(k, "d", k, now))
		h.Settle(once.Key{Org: "league", Text: k}, k, once.Ran, &once.Answer{Status: 200, Body: make([]byte, 400)})
	}
	if got := refusal(h.Claim(now, request("a", "d", "x", now))); got != fault.DuplicateDone {
		t.Errorf("the oldest answer: %s, want it dropped and the key remembered", got)
	}
	if _, ok := h.Claim(now, request("c", "d", "x", now)).(once.Replay); !ok {
		t.Error("the newest answer is not held")
	}
	h.Sweep(now.Add(time.Hour))
	if h.Size() != 0 {
		t.Errorf("%d keys are remembered for ever", h.Size())
	}
}

// timedKey is a UUID of version 7 made at the time.
func timedKey(at time.Time) string {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8] = 0x70, 0x80
	return u.String()
}

func TestKeysAfterALossOfMemory(t *testing.T) {
	forgot := time.Unix(1_800_000_000, 0)
	self := once.Live{Member: once.Member{Box: "entry-1", Incarnation: 1}, Hall: "bole-hall"}
	lost := once.Live{Member: once.Member{Box: "entry-2", Incarnation: 1}, Hall: "kazanchis-hall"}
	var all []once.Shard
	for s := range once.Shard(once.Shards) {
		all = append(all, s)
	}
	tests := []struct {
		name string
		key  string
		at   time.Duration // after the loss
		want fault.Kind
	}{
		{"untimed, soon after", "plain", time.Minute, fault.KeyMemoryLost},
		{"untimed, long after", "plain", 30 * time.Minute, ""},
		{"made before the loss", timedKey(forgot.Add(-time.Minute)), time.Minute, fault.KeyMemoryLost},
		{"made at about the loss", timedKey(forgot.Add(5 * time.Second)), time.Minute, fault.KeyMemoryLost},
		{"made after the loss", timedKey(forgot.Add(30 * time.Second)), time.Minute, ""},
		{"made long ago", timedKey(forgot), 20 * time.Minute, fault.KeyExpired},
		{"made in the future", timedKey(forgot.Add(time.Hour)), time.Minute, fault.BadRequest},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			now := forgot.Add(tc.at)
			h := once.NewHolder(self.Member, 1000)
			h.Lease(now.Add(time.Hour))
			table := once.First([]once.Live{lost}).WithVersion(1)
			h.Adopt(table)
			h.Adopt(table.Forget(forgot, self, []once.Live{self}, all).WithVersion(2))
			if got := refusal(h.Claim(now, request(tc.key, "d", "r", now))); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}

func TestLapsedLeaseGrantsNothing(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	h := alone(t, now)
	if got := refusal(h.Claim(now.Add(2*time.Hour), request("k", "d", "r", now.Add(2*time.Hour)))); got != fault.KeyOwnerUnreachable {
		t.Errorf("got %q", got)
	}
}

// pair returns two members and a table in which the first is primary of every
// shard at the epoch and the second its backup.
func pair(epoch int) (a, b once.Live, table once.Table) {
	a = once.Live{Member: once.Member{Box: "entry-1", Incarnation: 1}, Hall: "bole-hall"}
	b = once.Live{Member: once.Member{Box: "entry-2", Incarnation: 1}, Hall: "kazanchis-hall"}
	var all []once.Shard
	for s := range once.Shard(once.Shards) {
		all = append(all, s)
	}
	table = once.First([]once.Live{a}).WithVersion(1)
	for v := 2; v <= epoch; v++ {
		table = table.Forget(time.Time{}, a, []once.Live{a, b}, all).WithVersion(store.Version(v))
	}
	return a, b, table
}

func TestShardsGoOnlyToAWholeMemory(t *testing.T) {
	a, b, table := pair(2)
	h := once.NewHolder(a.Member, 0)
	h.Adopt(table)
	live := []once.Live{a, b}
	if _, ok := h.Balance(live); ok {
		t.Error("shards were given to a backup that has no memory yet")
	}
	for _, s := range h.Syncs() {
		h.Synced(s.Shard, s.Epoch)
	}
	if _, ok := h.Balance(live); !ok {
		t.Error("all shards stay on one box although the other has their memory")
	}
}

func TestBackupAcknowledgesOnlyItsEpoch(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	_, b, table := pair(3)
	h := once.NewHolder(b.Member, 0)
	h.Lease(now.Add(time.Hour))
	h.Adopt(table)
	if !h.Accept(now, 0, 3, nil, true) {
		t.Fatal("the whole memory of its own epoch was refused")
	}
	for _, epoch := range []uint64{2, 4} {
		if h.Accept(now, 0, epoch, nil, false) {
			t.Errorf("a copy of epoch %d was acknowledged in epoch 3", epoch)
		}
	}
}
