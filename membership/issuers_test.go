package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// hall holds the tables of boxes that receive each other's reports.
type hall struct {
	t     *testing.T
	boxes []*membership.Boxes
}

func boxName(i int) domain.BoxID { return domain.BoxID(fmt.Sprint("box-", i)) }

func newHall(t *testing.T, boxes int) *hall {
	h := &hall{t: t}
	for i := range boxes {
		h.boxes = append(h.boxes, membership.NewBoxes(boxName(i), rand.New(rand.NewPCG(1, uint64(i)))))
	}
	return h
}

// exchange delivers the reports of all boxes but the silent one to the other boxes. The box leaving
// reports that it is leaving.
func (h *hall) exchange(now time.Time, silent, leaving domain.BoxID) {
	for i, b := range h.boxes {
		b.Sample(now, 0)
		for j := range h.boxes {
			if c := boxName(j); i != j && c != silent {
				b.Receive(now, membership.Contact{Box: c, Address: string(c)}, "h", membership.StoreProgress{}, c == leaving)
			}
		}
	}
}

// issuer returns the issuer on which all boxes except one agree.
func (h *hall) issuer(now time.Time, svc domain.ServiceName, except domain.BoxID) domain.BoxID {
	var first domain.BoxID
	for i, b := range h.boxes {
		if boxName(i) == except {
			continue
		}
		got := b.Issuer(now, svc, false).Box
		if first != "" && got != first {
			h.t.Errorf("service %s: the issuer is %[3]s according to %[2]s, and %[4]s according to others", svc, boxName(i), got, first)
		}
		first = got
	}
	return first
}

// TestBoxesAgreeOnTheIssuer: all boxes that receive each other's reports choose the same issuer,
// and the issuers of the services are spread over the boxes.
func TestBoxesAgreeOnTheIssuer(t *testing.T) {
	const boxes, services = 7, 40
	h, now := newHall(t, boxes), time.Unix(1000, 0)
	h.exchange(now, "", "")
	if got := h.issuer(now.Add(time.Second), "app", ""); got != "" {
		t.Errorf("%s is the issuer a second after all boxes have started, want none", got)
	}
	now = now.Add(3 * time.Second)
	h.exchange(now, "", "")
	seen := map[domain.BoxID]bool{}
	for i := range services {
		seen[h.issuer(now, domain.ServiceName(fmt.Sprint("svc-", i)), "")] = true
	}
	if len(seen) < boxes-1 {
		t.Errorf("%d services have only %d issuers", services, len(seen))
	}
}

// TestStartingBoxFindsIssuerAtOnce: a box that has just started chooses the same issuer as the others,
// since they report that they have run long enough.
func TestStartingBoxFindsIssuerAtOnce(t *testing.T) {
	h, now := newHall(t, 7), time.Unix(1000, 0)
	h.exchange(now, "", "")
	now = now.Add(time.Minute)
	h.exchange(now, "", "")
	want := h.issuer(now, "app", "")
	fresh := membership.NewBoxes("new", rand.New(rand.NewPCG(1, 9)))
	fresh.Sample(now, 0)
	for i, b := range h.boxes {
		fresh.Receive(now, membership.Contact{Box: boxName(i)}, "h", membership.StoreProgress{}, false)
		fresh.ReceiveShareReport(boxName(i), membership.ShareReport{Settled: b.Settled(now)})
	}
	if got := fresh.Issuer(now, "app", false).Box; got != want {
		t.Errorf("the issuer is %q according to a box that has just started, %s according to others", got, want)
	}
}

// TestLeavingAndSilentBoxesAreNoIssuers covers a box that is leaving, and one whose reports are
// no longer received.
func TestLeavingAndSilentBoxesAreNoIssuers(t *testing.T) {
	h, now := newHall(t, 7), time.Unix(1000, 0)
	h.exchange(now, "", "")
	now = now.Add(3 * time.Second)
	h.exchange(now, "", "")
	first := h.issuer(now, "app", "")
	now = now.Add(time.Second)
	h.exchange(now, "", first)
	second := h.issuer(now, "app", first)
	if second == first {
		t.Errorf("%s is the issuer although it is leaving", first)
	}
	now = now.Add(5 * time.Second)
	h.exchange(now, second, "")
	if got := h.issuer(now, "app", second); got != first {
		t.Errorf("%s is the issuer, while %s is silent and %s is back", got, second, first)
	}
	for i, b := range h.boxes {
		if boxName(i) == first && b.Issuer(now, "app", true).Box == first {
			t.Error("a leaving box chooses itself as the issuer")
		}
	}
}

// TestIssuerShareCountsBoxesWithoutFallback: an issuer serves the boxes that it receives reports
// from and that do not use their fallback shares, out of all that may still be sending.
func TestIssuerShareCountsBoxesWithoutFallback(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name            string
		change          func(*membership.Boxes)
		after           time.Duration
		served, sharing int
	}{
		{"all boxes report", func(*membership.Boxes) {}, time.Second, 4, 4},
		{"one box uses its fallback share", func(b *membership.Boxes) {
			b.ReceiveShareReport("c", membership.ShareReport{Boxes: 4, UsesFallback: true})
		}, time.Second, 3, 4},
		{"the others are silent", func(*membership.Boxes) {}, 30 * time.Second, 1, 4},
		{"the others are silent for long", func(*membership.Boxes) {}, 2 * time.Minute, 1, 1},
		{"one box has left", func(b *membership.Boxes) {
			b.Receive(start, membership.Contact{Box: "c"}, "h", membership.StoreProgress{}, true)
		}, 3 * time.Second, 4, 3},
		{"another box counts more boxes", func(b *membership.Boxes) { b.ReceiveShareReport("c", membership.ShareReport{Boxes: 9}) }, time.Second, 4, 9},
		{"the box that counted more is silent", func(b *membership.Boxes) { b.ReceiveShareReport("c", membership.ShareReport{Boxes: 9}) }, 10 * time.Second, 1, 4},
	} {
		b := membership.NewBoxes("a", rand.New(rand.NewPCG(1, 1)))
		for _, box := range []domain.BoxID{"b", "c", "d"} {
			b.Receive(start, membership.Contact{Box: box}, "h", membership.StoreProgress{}, false)
		}
		tc.change(b)
		if served, sharing := b.IssuerShare(start.Add(tc.after)); served != tc.served || sharing != tc.sharing {
			t.Errorf("%s: serves %d of %d boxes, want %d of %d", tc.name, served, sharing, tc.served, tc.sharing)
		}
	}
}
