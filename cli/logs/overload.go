package logs

import "strings"

// shedText is the part of the error of a refused request that only refusals at the concurrency limit have.
const shedText = " are refused from "

// isShed reports whether the line states that a request was refused at the concurrency limit of a group.
func isShed(l Line) bool {
	return l.msg == "request refused" && l.Get("kind") == "overloaded" && strings.Contains(l.Get("err"), shedText)
}

// queueCounts counts the requests that waited for a group to open.
type queueCounts struct {
	queued   int
	outcomes map[string]int
}

// add counts a line.
func (q *queueCounts) add(l Line) {
	switch l.msg {
	case "request queued":
		q.queued++
	case "queued request released":
		q.outcomes["released"]++
	case "queued request refused":
		q.outcomes["refused as "+l.Get("reason")]++
	}
}

// counts returns the outcomes. Boxes log none for a caller that leaves.
func (q *queueCounts) counts() []Count {
	list, without := sortedCounts(q.outcomes), q.queued
	for _, c := range list {
		without -= c.n
	}
	if without > 0 {
		list = append(list, Count{label: "left by the caller, or still waiting", n: without})
	}
	return list
}

// Shed counts the requests refused at the concurrency limits of groups by class, such as "1/3" for the second of
// three.
func (r *Report) Shed() []Count { return sortedCounts(r.shed) }

// QueueOutcomes counts, by outcome, how often requests waited for a group to open.
func (r *Report) QueueOutcomes() []Count { return r.queue.counts() }
