package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// hall are boxes that hear each other.
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

// meet lets all boxes but one that is silent hear each other; one is leaving.
func (h *hall) meet(now time.Time, silent, leaving domain.BoxID) {
	for i, b := range h.boxes {
		b.Sample(now, 0)
		for j := range h.boxes {
			if c := boxName(j); i != j && c != silent {
				b.Receive(now, membership.Contact{Box: c, Address: string(c)}, "h", membership.StoreProgress{}, c == leaving)
			}
		}
	}
}

// issuer is whom all boxes but one take for the issuer.
func (h *hall) issuer(now time.Time, svc domain.ServiceName, but domain.BoxID) domain.BoxID {
	var first domain.BoxID
	for i, b := range h.boxes {
		if boxName(i) == but {
			continue
		}
		got := b.Issuer(now, svc, false).Box
		if first != "" && got != first {
			h.t.Errorf("%s: %s takes %s for the issuer, others %s", svc, boxName(i), got, first)
		}
		first = got
	}
	return first
}

// TestBoxesAgreeOnTheIssuer: all that hear each other find the same one, and the services' issuers
// are spread.
func TestBoxesAgreeOnTheIssuer(t *testing.T) {
	const boxes, services = 7, 40
	h, now := newHall(t, boxes), time.Unix(1000, 0)
	h.meet(now, "", "")
	if got := h.issuer(now.Add(time.Second), "app", ""); got != "" {
		t.Errorf("%s is the issuer a second after all have started", got)
	}
	now = now.Add(3 * time.Second)
	h.meet(now, "", "")
	seen := map[domain.BoxID]bool{}
	for i := range services {
		seen[h.issuer(now, domain.ServiceName(fmt.Sprint("svc-", i)), "")] = true
	}
	if len(seen) < boxes-1 {
		t.Errorf("%d services have %d issuers", services, len(seen))
	}
}

// TestABoxThatStartsFindsTheIssuerAtOnce: others have run for long, and tell it so.
func TestABoxThatStartsFindsTheIssuerAtOnce(t *testing.T) {
	h, now := newHall(t, 7), time.Unix(1000, 0)
	h.meet(now, "", "")
	now = now.Add(time.Minute)
	h.meet(now, "", "")
	want := h.issuer(now, "app", "")
	fresh := membership.NewBoxes("new", rand.New(rand.NewPCG(1, 9)))
	fresh.Sample(now, 0)
	for i, b := range h.boxes {
		fresh.Receive(now, membership.Contact{Box: boxName(i)}, "h", membership.StoreProgress{}, false)
		fresh.ReceiveShareReport(boxName(i), membership.ShareReport{Settled: b.Settled(now)})
	}
	if got := fresh.Issuer(now, "app", false).Box; got != want {
		t.Errorf("a box that has just started takes %q for the issuer, others %s", got, want)
	}
}

// TestWhoIsNoIssuer: who leaves, and who is not heard any more.
func TestWhoIsNoIssuer(t *testing.T) {
	h, now := newHall(t, 7), time.Unix(1000, 0)
	h.meet(now, "", "")
	now = now.Add(3 * time.Second)
	h.meet(now, "", "")
	first := h.issuer(now, "app", "")
	now = now.Add(time.Second)
	h.meet(now, "", first)
	second := h.issuer(now, "app", first)
	if second == first {
		t.Errorf("%s is leaving, and is the issuer", first)
	}
	now = now.Add(5 * time.Second)
	h.meet(now, second, "")
	if got := h.issuer(now, "app", second); got != first {
		t.Errorf("%s is the issuer, where %s is silent and %s is back", got, second, first)
	}
	for i, b := range h.boxes {
		if boxName(i) == first && b.Issuer(now, "app", true).Box == first {
			t.Error("a box that leaves is the issuer by its own word")
		}
	}
}

// TestForHowManyBoxesAnIssuerSpeaks: those that it hears and that are not apart, of all that may
// still be sending.
func TestForHowManyBoxesAnIssuerSpeaks(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name           string
		change         func(*membership.Boxes)
		after          time.Duration
		heard, sharing int
	}{
		{"all are heard", func(*membership.Boxes) {}, time.Second, 4, 4},
		{"one is apart", func(b *membership.Boxes) {
			b.ReceiveShareReport("c", membership.ShareReport{Boxes: 4, UsesFallback: true})
		}, time.Second, 3, 4},
		{"others are silent", func(*membership.Boxes) {}, 30 * time.Second, 1, 4},
		{"others are silent for long", func(*membership.Boxes) {}, 2 * time.Minute, 1, 1},
		{"one has left", func(b *membership.Boxes) {
			b.Receive(start, membership.Contact{Box: "c"}, "h", membership.StoreProgress{}, true)
		}, 3 * time.Second, 4, 3},
		{"others know more boxes", func(b *membership.Boxes) { b.ReceiveShareReport("c", membership.ShareReport{Boxes: 9}) }, time.Second, 4, 9},
		{"one that knew more is silent", func(b *membership.Boxes) { b.ReceiveShareReport("c", membership.ShareReport{Boxes: 9}) }, 10 * time.Second, 1, 4},
	} {
		b := membership.NewBoxes("a", rand.New(rand.NewPCG(1, 1)))
		for _, box := range []domain.BoxID{"b", "c", "d"} {
			b.Receive(start, membership.Contact{Box: box}, "h", membership.StoreProgress{}, false)
		}
		tc.change(b)
		if heard, sharing := b.IssuerShare(start.Add(tc.after)); heard != tc.heard || sharing != tc.sharing {
			t.Errorf("%s: %d of %d, want %d of %d", tc.name, heard, sharing, tc.heard, tc.sharing)
		}
	}
}
