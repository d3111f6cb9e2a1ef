package routing_test

import (
	"slices"
	"testing"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/routing"
)

// TestUntried guards against requests that are refused as their group opens, because the first rank that is known to
// be open is the one that they were sent to before, and against a second attempt at a target that has failed.
func TestUntried(t *testing.T) {
	for _, tc := range []struct {
		name    string
		options []domain.InstanceID
		tried   []domain.InstanceID
		waited  bool
		want    []domain.InstanceID
	}{
		{"first attempt", []domain.InstanceID{"a", "b"}, nil, false, []domain.InstanceID{"a", "b"}},
		{"another target", []domain.InstanceID{"a", "b"}, []domain.InstanceID{"a"}, false, []domain.InstanceID{"b"}},
		{"no other target", []domain.InstanceID{"a"}, []domain.InstanceID{"a"}, false, nil},
		{"another target after a wait", []domain.InstanceID{"a", "b"}, []domain.InstanceID{"a"}, true, []domain.InstanceID{"b"}},
		{"the same target after a wait", []domain.InstanceID{"a"}, []domain.InstanceID{"a"}, true, []domain.InstanceID{"a"}},
		{"none after a wait", nil, []domain.InstanceID{"a"}, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var options []routing.Option
			for _, id := range tc.options {
				options = append(options, routing.Option{ID: id})
			}
			var got []domain.InstanceID
			for _, o := range routing.Untried(options, tc.tried, tc.waited) {
				got = append(got, o.ID)
			}
			if !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
