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
	a.IssueFallback(at(time.Second), service, []ratelimit.Want{{Target: limited, Rate: 1}}, 0.5)
	if !a.UsesFallback(at(2*time.Second)) || a.UsesFallback(at(10*time.Second)) {
		t.Error("UsesFallback is false one second after IssueFallback, or still true nine seconds after it")
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
