package domain

import (
	"strconv"
	"strings"
)

// ListedID is the id of a target in the platform's list. A restarted target may keep it.
type ListedID string

// StartTime is the time at which a target's process started, in milliseconds of Unix time, as
// reported by the target; 0 if it never reported one. It distinguishes and orders the
// processes that have run under one ListedID.
type StartTime int64

// InstanceID identifies one process of a target: its ListedID, followed by its start time if
// that is known. A report about an instance never applies to the process started after it, and
// data stored under an InstanceID is not found under that of the next process.
type InstanceID string

// startTimeSeparator separates the ListedID from the start time in an InstanceID.
const startTimeSeparator = "@"

// NewInstanceID returns the InstanceID of the process that was started under the id at the given
// time; the time is 0 if it is unknown.
func NewInstanceID(id ListedID, start StartTime) (InstanceID, error) {
	switch {
	case id == "":
		return "", invalid("id", "missing")
	case strings.Contains(string(id), startTimeSeparator):
		return "", invalid("id", "%q contains the reserved separator %q", id, startTimeSeparator)
	case start < 0:
		return "", invalid("born", "start time %d is negative, want milliseconds of Unix time", start)
	case start == 0:
		return InstanceID(id), nil
	default:
		return InstanceID(string(id) + startTimeSeparator + strconv.FormatInt(int64(start), 10)), nil
	}
}

// ListedID returns the part of the instance id that the platform's list uses.
func (id InstanceID) ListedID() ListedID {
	listed, _, _ := strings.Cut(string(id), startTimeSeparator)
	return ListedID(listed)
}

// StartTime returns the start time of the process; 0 if it is unknown.
func (id InstanceID) StartTime() StartTime {
	_, text, found := strings.Cut(string(id), startTimeSeparator)
	if !found {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // not created by NewInstanceID, so the start time is unknown
	}
	return StartTime(n)
}

// MatchesStart reports whether a report from a process with the given start time may be about
// this instance. If either start time is unknown, the process is taken to be this instance,
// since only the ListedID can be compared.
func (id InstanceID) MatchesStart(start StartTime) bool {
	return start == 0 || id.StartTime() == 0 || start == id.StartTime()
}
