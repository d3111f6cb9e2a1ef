package reference_test

import (
	"os"
	"testing"

	"clovertrail.dev/cmd/internal/reference"
)

const root = "../../.."

func TestSettingsReferenceIsUpToDate(t *testing.T) {
	want, err := reference.Settings(root)
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(root + "/docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/SETTINGS.md is out of date; CONTRIBUTING.md states the command that generates it")
	}
}
