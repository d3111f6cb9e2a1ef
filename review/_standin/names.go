package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var rawNames []byte

// names holds the names of the platform's protocol that the stand-ins use.
var names = func() (n struct {
	RequestID, Stamp, Instance, NotRun, Deadline, Objects, Ready, After, Position, Created, Removed, Cold string
	Prefix, Timeout, Objective, Gap, Attempts, Connections, Health, Keys, Once                            string
}) {
	if err := json.Unmarshal(rawNames, &n); err != nil {
		panic(err) // the file is a part of the program
	}
	return n
}()
