package main

import "fmt"

// workerID returns the id of a worker; the ids are in the order of their numbers.
func workerID(n int) string { return fmt.Sprintf("i-%03d", n) }

// zoneOf returns the zone of a worker or box.
func zoneOf(n int) string { return fmt.Sprintf("zone-%d", n%2+1) }
