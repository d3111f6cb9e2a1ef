package limit_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"clovertrail.dev/core/limit"
)

func TestReader(t *testing.T) {
	tests := []struct {
		text, want string
		exceeded   bool
	}{
		{"", "", false},
		{"abc", "abc", false},
		{"abcd", "abcd", false},
		{"abcde", "abcd", true},
		{strings.Repeat("abcd", 1000), "abcd", true},
	}
	for _, tc := range tests {
		readers := map[string]io.Reader{
			"whole": strings.NewReader(tc.text), "single bytes": iotest.OneByteReader(strings.NewReader(tc.text)),
			"end with the last byte": iotest.DataErrReader(strings.NewReader(tc.text)),
		}
		for name, from := range readers {
			got, err := io.ReadAll(limit.NewReader(from, "the text", 4))
			if string(got) != tc.want || limit.IsExceeded(err) != tc.exceeded || !tc.exceeded && err != nil {
				t.Errorf("%q, %s: got %q, %v", tc.text, name, got, err)
			}
		}
	}
}

func TestReaderFailsAgain(t *testing.T) {
	r := limit.NewReader(strings.NewReader("abc"), "the text", 2)
	for range 3 {
		if _, err := io.ReadAll(r); !limit.IsExceeded(fmt.Errorf("read: %w", err)) {
			t.Errorf("got %v, want the error of the limit", err)
		}
	}
}
