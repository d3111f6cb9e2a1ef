package limit_test

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"clovertrail.dev/core/limit"
)

// TestNestingReader guards against values that are lost, or kept in part, beside one that is nested too deeply.
func TestNestingReader(t *testing.T) {
	deep := strings.Repeat(`[{"k":`, 10_000) + "1" + strings.Repeat("}]", 10_000)
	tests := []struct{ text, want string }{
		{``, ``},
		{`1`, `1`},
		{`[1,{"a":"b"}]`, `[1,{"a":"b"}]`},
		{`[[1,2],3]`, `[[1,2],3]`},
		{`[[[1]],3]`, `[[null],3]`},
		{`[[[],{}],[]]`, `[[null,null],[]]`},
		{`{"a":{"b":{"c":[1]},"d":2}}`, `{"a":{"b":null,"d":2}}`},
		{`{"a":{"b":["]\"}",[]],"d":"\\"}}`, `{"a":{"b":null,"d":"\\"}}`},
		{`["[[[","\"{",[["[[["]]]`, `["[[[","\"{",[null]]`},
		{`[` + deep + `,1]`, `[[null],1]`},
		{`[[[1,`, `[[null`},
		{`]]]`, `]]]`},
	}
	for _, tc := range tests {
		for name, from := range map[string]io.Reader{
			"whole": strings.NewReader(tc.text), "single bytes": iotest.OneByteReader(strings.NewReader(tc.text)),
			"end with the last byte": iotest.DataErrReader(strings.NewReader(tc.text)),
		} {
			got, err := io.ReadAll(limit.NewNestingReader(from, 2))
			if err != nil || string(got) != tc.want {
				t.Errorf("%.60s, %s: got %.60s, %v, want %s", tc.text, name, got, err, tc.want)
			}
		}
	}
}

// TestNestingReaderKeepsShallowJSON checks that JSON within the limit is not changed, and that the result of any JSON is JSON.
func TestNestingReaderKeepsShallowJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		depth := rapid.IntRange(0, 6).Draw(t, "depth")
		raw, err := json.Marshal(drawValue(t, depth))
		if err != nil {
			t.Fatal(err)
		}
		maxDepth := rapid.IntRange(1, 6).Draw(t, "maxDepth")
		got, err := io.ReadAll(limit.NewNestingReader(strings.NewReader(string(raw)), maxDepth))
		if err != nil || !json.Valid(got) || depth <= maxDepth && string(got) != string(raw) {
			t.Fatalf("%s with %d levels became %s, %v", raw, maxDepth, got, err)
		}
	})
}

// drawValue returns a value with as many levels at the most.
func drawValue(t *rapid.T, depth int) any {
	if depth == 0 {
		return rapid.StringOf(rapid.SampledFrom([]rune(`[]{}"\,:a`))).Draw(t, "text")
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		list := []any{}
		for range rapid.IntRange(0, 3).Draw(t, "length") {
			list = append(list, drawValue(t, depth-1))
		}
		return list
	case 1:
		object := map[string]any{}
		for range rapid.IntRange(0, 3).Draw(t, "fields") {
			object[rapid.StringOf(rapid.SampledFrom([]rune(`[]{}"\k`))).Draw(t, "name")] = drawValue(t, depth-1)
		}
		return object
	default:
		return drawValue(t, 0)
	}
}
