package main

import (
	_ "embed"
	"strings"
)

// namesText maps short names to those of the platform's protocol.
//
//go:embed names.txt
var namesText string

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	m := map[string]string{}
	for line := range strings.Lines(text) {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			m[k] = v
		}
	}
	return m
}
