package domain

import (
	"strconv"
	"strings"
)

// ListedID is the id under which the platform's list has a target. A target that starts
// again may keep it.
type ListedID string

// StartTime is when a target's process started, in milliseconds of Unix time by its own report;
// 0 if it never stated one. It distinguishes and orders the starts under one ListedID.
type StartTime int64

// InstanceID names one start of a target's process: its ListedID and, where it states when
// it was born, that too. What is reported about an instance never applies to the start after it,
// and what is kept of one by its InstanceID is not found under the next.
type InstanceID string

// bornMark stands between the two parts.
const bornMark = "@"

// NewInstanceID names the start that was born then under the id.
func NewInstanceID(id ListedID, born StartTime) (InstanceID, error) {
	switch {
	case id == "":
		return "", invalid("id", "missing")
	case strings.Contains(string(id), bornMark):
		return "", invalid("id", "%q contains %q", id, bornMark)
	case born < 0:
		return "", invalid("born", "%d is before Unix time", born)
	case born == 0:
		return InstanceID(id), nil
	default:
		return InstanceID(string(id) + bornMark + strconv.FormatInt(int64(born), 10)), nil
	}
}

// ListedID is the id under which the list has the target.
func (id InstanceID) ListedID() ListedID {
	listed, _, _ := strings.Cut(string(id), bornMark)
	return ListedID(listed)
}

// StartTime is when the start was; 0 if that is not known.
func (id InstanceID) StartTime() StartTime {
	_, text, said := strings.Cut(string(id), bornMark)
	if !said {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // not made by InstanceOf, so nothing is known of its start
	}
	return StartTime(n)
}

// MatchesStart reports whether news of a process that was born then may be of this start.
// One that does not state it is taken for it, as its id alone shows no more.
func (id InstanceID) MatchesStart(born StartTime) bool {
	return born == 0 || id.StartTime() == 0 || born == id.StartTime()
}
