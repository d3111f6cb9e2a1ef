// Package reference generates documents from the source code.
//
// # Usage
//
//	text, err := reference.Settings(rootOfTheRepository)
package reference

import (
	"path/filepath"

	"clovertrail.dev/node/process"
	"clovertrail.dev/settings"
)

// Settings returns the content of docs/SETTINGS.md. The root is the path of the repository.
func Settings(root string) (string, error) {
	text := "# Settings\n\n"
	for _, d := range []struct {
		title, source string
		defaults      any
	}{
		{"clovertrail-node entry", "node/process/settings.go", process.DefaultEntrySettings()},
		{"clovertrail-node agent", "node/process/settings.go", process.DefaultAgentSettings()},
	} {
		section, err := settings.Document(d.title, filepath.Join(root, d.source), d.defaults)
		if err != nil {
			return "", err
		}
		text += section + "\n"
	}
	return text, nil
}
