package ratelimit_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/ratelimit"
)

// TestAllocatorSource: an issuer that did not reply gets no requests for a time, which doubles with each
// further failure, and is then probed by one request at a time.
func TestAllocatorSource(t *testing.T) {
	const other = domain.BoxID("other")
	a := ratelimit.NewAllocator("self", source())
	expect := func(now time.Duration, issuer domain.BoxID, want ratelimit.Source) {
		t.Helper()
		if got := a.Source(at(now), service, issuer); got != want {
			t.Errorf("at %v: %#v, want %#v", now, got, want)
		}
	}
	const second = time.Second
	expect(0, "self", ratelimit.Local{})
	expect(0, other, ratelimit.Remote{Issuer: other})
	expect(0, "", ratelimit.Fallback{})
	a.RequestSent(other)
	if !a.RequestFailed(at(0), other) {
		t.Error("RequestFailed does not report the first failure")
	}
	expect(second/2, other, ratelimit.Fallback{})
	expect(second, other, ratelimit.Fallback{Probe: other})
	a.RequestSent(other)
	expect(second, other, ratelimit.Fallback{}) // one probe at a time
	if a.RequestFailed(at(second), other) {
		t.Error("RequestFailed reports the second failure in a row as the first")
	}
	expect(2*second, other, ratelimit.Fallback{})
	expect(3*second, other, ratelimit.Fallback{Probe: other})
	expect(3*second, "third", ratelimit.Remote{Issuer: "third"})
	a.RequestSent(other)
	a.RequestSent(other)
	if !a.ReplyReceived(service, other, true) || a.ReplyReceived(service, other, true) {
		t.Error("ReplyReceived must report the recovery once")
	}
	expect(3*second, other, ratelimit.Remote{Issuer: other})
	a.RequestSent(other)
	if !a.RequestDeclined(at(3*second), other) {
		t.Error("RequestDeclined does not report the first failure")
	}
	expect(3*second, other, ratelimit.Fallback{})
	expect(3*second+200*time.Millisecond, other, ratelimit.Fallback{Probe: other})
	a.RequestSent(other)
	a.ReplyReceived(service, other, true)
	a.RequestSent(other)
	a.ReplyOverdue(other)
	expect(3*second, other, ratelimit.Pending{})
	a.ReplyReceived(service, other, false)
	expect(3*second, other, ratelimit.Remote{Issuer: other, Prefetch: true})
	a.RequestSent(other)
	a.ReplyReceived(service, other, true)
	expect(3*second, other, ratelimit.Remote{Issuer: other})
}

// TestUsesFallbackForSomeTimeAfterIssueFallback: the state is reported for a few rounds and then ends.
func TestUsesFallbackForSomeTimeAfterIssueFallback(t *testing.T) {
	a := ratelimit.NewAllocator("self", source())
	if a.UsesFallback(at(0)) {
		t.Error("UsesFallback is true before the first permit")
	}
	a.IssueFallback(at(time.Second), service, "other", []ratelimit.Want{{Target: limited, Rate: 1}}, 0.5)
	if !a.UsesFallback(at(2*time.Second)) || a.UsesFallback(at(10*time.Second)) {
		t.Error("UsesFallback is false one second after IssueFallback, or still true nine seconds after it")
	}
}

// TestUsesFallbackEndsWithReply: once the issuer replies, a box no longer reports that it uses its fallback
// share. The issuer would withhold the share of a box that it declined for a moment for two seconds, a
// quarter of the limit in a fleet of four.
func TestUsesFallbackEndsWithReply(t *testing.T) {
	a := ratelimit.NewAllocator("self", source())
	wants := []ratelimit.Want{{Target: limited, Rate: 1}}
	a.IssueFallback(at(0), service, "other", wants, 0.5)
	a.IssueFallback(at(0), "second", "other", wants, 0.5)
	a.RequestSent("other")
	a.ReplyReceived(service, "other", true)
	if !a.UsesFallback(at(time.Millisecond)) {
		t.Error("UsesFallback is false although the fallback share of another service is in use")
	}
	a.Issue(at(time.Millisecond), "second", wants, 1)
	if a.UsesFallback(at(2 * time.Millisecond)) {
		t.Error("UsesFallback is true although permits of all services come from issuers")
	}
}

// TestFallbackTurnsEndAtProbe: a box whose issuer did not reply probes it in time. Boxes have turns of many
// seconds in their fallback shares, and would keep to those shares for as long.
func TestFallbackTurnsEndAtProbe(t *testing.T) {
	const share = 0.01
	wants := []ratelimit.Want{{Target: limited, Rate: 1}}
	for _, tc := range []struct {
		name  string
		fail  func(*ratelimit.Allocator)
		after time.Duration // time from the failure to IssueFallback
		last  time.Duration // latest turn
	}{
		{"declined", func(a *ratelimit.Allocator) { a.RequestDeclined(at(0), "other") }, 0, 200 * time.Millisecond},
		{"no reply", func(a *ratelimit.Allocator) { a.RequestFailed(at(0), "other") }, 0, time.Second},
		{"probe in progress", func(a *ratelimit.Allocator) { a.RequestFailed(at(0), "other") }, 2 * time.Second, 2200 * time.Millisecond},
	} {
		a := ratelimit.NewAllocator("self", source())
		a.RequestSent("other")
		tc.fail(a)
		g := a.IssueFallback(at(tc.after), service, "other", wants, share)
		if len(g.Turns) != 1 || !g.Turns[0].At.Equal(at(tc.last)) {
			t.Errorf("%s: turns %v, want one at %v", tc.name, g.Turns, at(tc.last))
		}
	}
	if g := ratelimit.NewAllocator("self", source()).IssueFallback(at(0), service, "", wants, share); !g.Turns[0].At.After(at(4 * time.Second)) {
		t.Errorf("no issuer is known: turn %v, want that of the fallback share", g.Turns[0].At)
	}
}

// TestGrants: the first target with a permit is granted, with turns at the targets before it; a target whose
// limit has ended is granted immediately; and a box that was not the issuer for a time starts with new
// buckets.
func TestGrants(t *testing.T) {
	a := ratelimit.NewAllocator("self", source())
	wants := []ratelimit.Want{{Target: "a", Rate: 1}, {Target: "b", Rate: 1}, {Target: "c", Rate: 1}}
	a.Issue(at(0), service, wants, 1) // new buckets hold a fraction of a token
	got := map[domain.InstanceID]int{}
	for range 6 {
		g := a.Issue(at(4*time.Second), service, wants, 1)
		got[g.Target] += g.Permits
		for i, turn := range g.Turns {
			if turn.Target != wants[i].Target || !turn.At.After(at(4*time.Second)) {
				t.Errorf("turn %d is %v, want a later one at %s", i, turn, wants[i].Target)
			}
		}
	}
	for _, w := range wants {
		if got[w.Target] != 2 {
			t.Errorf("%s: %d permits, want the burst of %d", w.Target, got[w.Target], 2)
		}
	}
	ended := ratelimit.Want{Target: "ended", Rate: ratelimit.Rate(call.Unlimited{})}
	if g := a.Issue(at(4*time.Second), service, append(wants[:1:1], ended), 1); g.Target != "ended" || g.Permits != 1 {
		t.Errorf("grant %+v, want one permit for the target without a limit", g)
	}
	if a.IsIssuer("other", service) || !a.IsIssuer("self", service) {
		t.Error("IsIssuer does not tell this box from another")
	}
	if g := a.Issue(at(60*time.Second), service, wants[:1], 1); g.Permits != 0 {
		t.Errorf("issued %d permits from new buckets, want none", g.Permits)
	}
}
