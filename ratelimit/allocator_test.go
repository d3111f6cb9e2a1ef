package ratelimit_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/ratelimit"
)

// TestWhereABoxGetsPermits: an issuer that did not answer is not asked for a while, longer each
// time, and then looked at once.
func TestWhereABoxGetsPermits(t *testing.T) {
	const other = domain.BoxID("other")
	d := ratelimit.NewAllocator("self", source())
	expect := func(when time.Duration, issuer domain.BoxID, want ratelimit.Source) {
		t.Helper()
		if got := d.Source(at(when), service, issuer); got != want {
			t.Errorf("at %v: %#v, want %#v", when, got, want)
		}
	}
	const second = time.Second
	expect(0, "self", ratelimit.Local{})
	expect(0, other, ratelimit.Remote{Issuer: other})
	expect(0, "", ratelimit.Fallback{})
	d.RequestSent(other)
	if !d.RequestFailed(at(0), other) {
		t.Error("its silence is no news")
	}
	expect(second/2, other, ratelimit.Fallback{})
	expect(second, other, ratelimit.Fallback{Probe: other})
	d.RequestSent(other)
	expect(second, other, ratelimit.Fallback{}) // one look at a time
	if d.RequestFailed(at(second), other) {
		t.Error("its silence is news again")
	}
	expect(2*second, other, ratelimit.Fallback{})
	expect(3*second, other, ratelimit.Fallback{Probe: other})
	expect(3*second, "third", ratelimit.Remote{Issuer: "third"})
	d.RequestSent(other)
	d.RequestSent(other)
	if !d.ReplyReceived(service, other, true) || d.ReplyReceived(service, other, true) {
		t.Error("that it answers again is news once")
	}
	expect(3*second, other, ratelimit.Remote{Issuer: other})
	d.RequestSent(other)
	if !d.RequestDeclined(at(3*second), other) {
		t.Error("that it is not the issuer is no news")
	}
	expect(3*second, other, ratelimit.Fallback{})
	expect(3*second+200*time.Millisecond, other, ratelimit.Fallback{Probe: other})
	d.RequestSent(other)
	d.ReplyReceived(service, other, true)
	d.RequestSent(other)
	d.ReplyOverdue(other)
	expect(3*second, other, ratelimit.Pending{})
	d.ReplyReceived(service, other, false)
	expect(3*second, other, ratelimit.Remote{Issuer: other, Prefetch: true})
	d.RequestSent(other)
	d.ReplyReceived(service, other, true)
	expect(3*second, other, ratelimit.Remote{Issuer: other})
}

// TestABoxIsApartWhileItGoesByItsOwnPart.
func TestABoxIsApartWhileItGoesByItsOwnPart(t *testing.T) {
	d := ratelimit.NewAllocator("self", source())
	if d.UsesFallback(at(0)) {
		t.Error("it is apart before it asked for anything")
	}
	d.IssueFallback(at(time.Second), service, []ratelimit.Want{{Target: limited, Rate: 1}}, 0.5)
	if !d.UsesFallback(at(2*time.Second)) || d.UsesFallback(at(10*time.Second)) {
		t.Error("it is not apart a second after it went by its own part, or nine seconds later")
	}
}

// TestGrants: the first of the targets with a permit, and turns at those before it; one whose limit
// is over is free at once; an issuer that another box replaced meanwhile begins anew.
func TestGrants(t *testing.T) {
	d := ratelimit.NewAllocator("self", source())
	wants := []ratelimit.Want{{Target: "a", Rate: 1}, {Target: "b", Rate: 1}, {Target: "c", Rate: 1}}
	d.Issue(at(0), service, wants, 1) // the buckets are new, and hold a part of a token
	got := map[domain.InstanceID]int{}
	for range 6 {
		g := d.Issue(at(4*time.Second), service, wants, 1)
		got[g.Target] += g.Permits
		for i, turn := range g.Turns {
			if turn.Target != wants[i].Target || !turn.At.After(at(4*time.Second)) {
				t.Errorf("turn %d is %v", i, turn)
			}
		}
	}
	for _, w := range wants {
		if got[w.Target] != 2 {
			t.Errorf("%s: %d permits, %d are saved up", w.Target, got[w.Target], 2)
		}
	}
	over := ratelimit.Want{Target: "over", Rate: ratelimit.Rate(call.Unlimited{})}
	if g := d.Issue(at(4*time.Second), service, append(wants[:1:1], over), 1); g.Target != "over" || g.Permits != 1 {
		t.Errorf("%+v", g)
	}
	if d.IsIssuer("other", service) || !d.IsIssuer("self", service) {
		t.Error("it does not know which box it is")
	}
	if g := d.Issue(at(60*time.Second), service, wants[:1], 1); g.Permits != 0 {
		t.Errorf("after another was the issuer it hands out %d permits at once", g.Permits)
	}
}
