package mesh_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clovertrail.dev/admission/fairshare"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/urgency"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
)

// encodedBytes returns the size of the message.
func encodedBytes(t *testing.T, m any) int {
	raw, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

// TestRequestCountsTakeLessThanAKilobyteASecond guards against messages that grow with the number of
// requests, of organisations and of services, or with their names. Each box sends its counts to
// membership.AdvertFanout others once a second.
func TestRequestCountsTakeLessThanAKilobyteASecond(t *testing.T) {
	classes := urgency.NewClasses([]urgency.Priorities{{Route: 0}, {Route: 1}, {Route: 2}})
	for _, tc := range []struct {
		name               string
		perSecond          int
		organisations      int
		services           int
		nameBytes          int
		least, bytesAtMost int // requests in all messages of ten seconds, bytes of the adverts of a second
	}{
		{"432 boxes, 333 organisations", 6, 333, 1, 8, 59, 1000},
		{"large fleet of many models", 6, 333, 21, 8, 20, 1000},
		{"long names", 6, 333, 1, 24, 40, 1000},
		{"very long names", 6, 333, 1, 250, 0, 1000},
		{"few boxes with many requests", 1000, 333, 3, 8, 3000, 1000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, 2))
			s, now := fairshare.New(), time.Unix(1_800_000_000, 0)
			named, most := 0, 0
			for second := range 10 {
				for range tc.perSecond {
					org := domain.OrganisationName(fmt.Sprintf("%0*d", tc.nameBytes, rnd.IntN(tc.organisations)))
					svc := domain.ServiceName(fmt.Sprintf("%08d", rnd.IntN(tc.services)))
					s.Requested(now, svc, classes.Of(urgency.Priorities{Route: rnd.IntN(3)}), org)
				}
				now = now.Add(time.Second)
				counts := s.Own(now)
				for _, c := range counts {
					named += c.Requests
				}
				a := mesh.Advert{Organisations: mesh.NewRequestCounts(counts)}
				most = max(most, membership.AdvertFanout*(encodedBytes(t, a)-encodedBytes(t, mesh.Advert{})))
				decoded, invalid := mesh.Counts(a.Organisations)
				if len(decoded) != len(counts) || invalid != 0 {
					t.Errorf("second %d: %d of %d counts decoded, %d invalid", second, len(decoded), len(counts), invalid)
				}
			}
			t.Logf("%d requests in the messages of ten seconds, at most %d bytes a second", named, most)
			if named < tc.least || most > tc.bytesAtMost {
				t.Errorf("want at least %d requests and at most %d bytes", tc.least, tc.bytesAtMost)
			}
		})
	}
}

// TestRequestCountsAreChecked guards against counts that no box can have, which would outweigh all others.
func TestRequestCountsAreChecked(t *testing.T) {
	long := strings.Repeat("x", 300)
	list := []mesh.RequestCounts{
		{Service: "s", Class: 1, Rest: 3, Organisations: []mesh.OrganisationCount{
			{Organisation: "a", Requests: 2}, {Requests: 1}, {Organisation: "b"}, {Organisation: "c", Requests: -1},
			{Organisation: "d", Requests: 1 << 40}, {Organisation: domain.OrganisationName(long), Requests: 1},
		}},
		{Service: "s", Class: 1, Rest: -3},
		{Service: "s", Class: -1, Rest: 3},
		{Service: domain.ServiceName(long), Rest: 3},
		{Rest: 3},
	}
	want := []fairshare.Count{
		{Service: "s", Class: 1, Organisation: "a", Requests: 2}, {Service: "s", Class: 1, Requests: 1}, {Service: "s", Class: 1, Rest: true, Requests: 3},
	}
	if valid, invalid := mesh.Counts(list); !slices.Equal(valid, want) || invalid != 8 {
		t.Errorf("got %v, %d invalid", valid, invalid)
	}
}

// TestAdvertOfAnotherVersionIsRead guards against adverts that boxes of an earlier version cannot read.
func TestAdvertOfAnotherVersionIsRead(t *testing.T) {
	var earlier struct {
		Hall string `json:"hall"`
	}
	raw, err := cbor.Marshal(mesh.Advert{
		Hall: "h", Organisations: []mesh.RequestCounts{{Service: "s", Rest: 1}},
		Trials: []mesh.WorkTrial{{Digest: "d", After: 1}}, Lifts: []mesh.WorkLift{{Digest: "d", Age: 1}},
	})
	if err != nil || cbor.Unmarshal(raw, &earlier) != nil || earlier.Hall != "h" {
		t.Errorf("read as %+v, error %v", earlier, err)
	}
}
