package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

// span is a period during which a fault or a planned stop was in effect.
type span struct {
	name    string
	affects faultScope
	// box is the name of the box that was drawn for the action; empty if none was drawn.
	box      string
	from, to time.Time
}

// exchange is a request by a caller, and its result.
type exchange struct {
	request standin.Request
	// organisation is the owner of the API key in the request.
	organisation string
	atMostOnce   bool
	group        bool   // whether the group's route serves the request
	prompt       bool   // whether the request is a prompt of the callers of fatal or sound ones
	hall         string // of the caller; empty if no balancer chose the box
	// routeVersion is the version of the configuration that added the route; 0 if every version has it.
	routeVersion int
	crashing     bool // whether targets that are killed serve the request
	resuming     bool // whether its caller resumes streams
	outlasts     bool // whether the stream lasts longer than the deadline of its request
	hurried      bool // whether the deadline leaves little or no time beyond that of the stream
	late         bool // whether the request is one on a kept connection of lateCallers
	box          string
	// boxStart is the start count of the box when the request was sent; unknownStart if the box was
	// restarted before the response ended.
	boxStart        int
	sentAt, endedAt time.Time
	reply           standin.Reply
}

// Violation is an observed violation of a guarantee.
type Violation struct {
	Guarantee string
	Details   string
}

// recorder records requests, faults and the state of the environment, for the checks after the run.
// All its add and mark methods may be called from any goroutine.
type recorder struct {
	priorities priorities

	mu sync.Mutex
	// runs are the executions of requests by targets, by request id.
	runs map[string][]standin.Run
	// attempts are the times at which attempts reached ranks of the group, by request id.
	attempts  map[string][]time.Time
	exchanges []exchange
	// faults are all injected faults; planned work, such as stops, is not included.
	faults []span
	// outages are the periods in which the group was stopped.
	outages []span
	// stops are the planned stops, by box.
	stops map[string][]span
	// overdueStops are the planned stops that boxes did not end in time.
	overdueStops []span
	// unexpectedExits are the exits of processes that no signal of the run had ended.
	unexpectedExits []string
	// loggedFaults are the faults of their own that processes wrote to their logs, such as a data race.
	loggedFaults []string
	// drainingSince has the times at which the store accepted the draining state, by target.
	drainingSince map[string]time.Time
	// configStoredAt has the times at which the store accepted a configuration, by version.
	configStoredAt map[int]time.Time
	// rejected are the requests that were rejected by targets which have requested rest.
	rejected []standin.Rejection
	// leavingReportedAt has the times from which targets reported in their responses that they are
	// leaving, by target.
	leavingReportedAt map[string]time.Time
	limitPeriods      []limitPeriod
	evacuations       []evacuation
	hallOf            map[string]string // hall of each target
	promptCrashes     []time.Time       // when prompts crashed targets
	promptSummary     string
	skews             []span // times in which most connections of a hall went to one box; the name is that of the hall
	skewSummaries     []string
	targetCrashes     []time.Time // when targets of crashService were killed
	crashSummary      string
	lateSummary       string
	resumedAfter      map[string]int // the last event after which targets of resumeService were asked to continue, by request
	slowRanks         []span         // times in which the group has a slow rank
	resumes           resumeCounts
	endless           map[string]*standin.Target // targets that sent responses without end
	endlessSummary    string
	peakMemory        []string // largest resident memory of boxes so far, after each time of such responses
	// limitSummaries describe the requests sent in each limit period.
	limitSummaries []string
}

func newRecorder(p priorities) *recorder {
	return &recorder{
		priorities: p,
		runs:       map[string][]standin.Run{}, attempts: map[string][]time.Time{}, stops: map[string][]span{}, drainingSince: map[string]time.Time{}, configStoredAt: map[int]time.Time{},
		leavingReportedAt: map[string]time.Time{}, hallOf: map[string]string{}, resumedAfter: map[string]int{}, endless: map[string]*standin.Target{},
	}
}

func (rec *recorder) addRun(r standin.Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs[r.ID] = append(rec.runs[r.ID], r)
}

func (rec *recorder) addExchange(ex exchange) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.exchanges = append(rec.exchanges, ex)
}

func (rec *recorder) addFault(a action, box string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.faults = append(rec.faults, span{a.name, a.affects, box, from, to})
}

func (rec *recorder) addStop(box string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.stops[box] = append(rec.stops[box], span{"stop", scopeNone, box, from, to})
}

func (rec *recorder) addOverdueStop(box string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.overdueStops = append(rec.overdueStops, span{"stop", scopeNone, box, from, to})
}

func (rec *recorder) addUnexpectedExit(box string, err error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.unexpectedExits = append(rec.unexpectedExits, fmt.Sprintf("%s: %v", box, err))
}

func (rec *recorder) addOutage(from, opens time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.outages = append(rec.outages, span{name: "outage", affects: scopeNone, from: from, to: opens})
}

func (rec *recorder) addPromptCrash(at time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.promptCrashes = append(rec.promptCrashes, at)
}

func (rec *recorder) addSkew(s span) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.skews = append(rec.skews, s)
}

func (rec *recorder) markDraining(target string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainingSince[target] = time.Now()
}

func (rec *recorder) markConfigStored(version int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.configStoredAt[version] = time.Now()
}

// contactBound is the time without faults after which guarantees with a time bound hold.
const contactBound = 3 * time.Second

// timingSlack is added to all time bounds, because the run itself loads the machine.
const timingSlack = 1500 * time.Millisecond

// faultFree returns true if no fault of the given scopes affected the box from contactBound before
// the first time until the second.
func (rec *recorder) faultFree(box string, from, to time.Time, scopes ...faultScope) bool {
	for _, s := range rec.faults {
		relevant := s.box == box || s.affects == scopeStore || s.affects == scopeTarget
		if relevant && slices.Contains(scopes, s.affects) && s.from.Before(to) && s.to.After(from.Add(-contactBound)) {
			return false
		}
	}
	return true
}

// violations checks all guarantees against the records.
func (rec *recorder) violations() []Violation {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var list []Violation
	violate := func(guarantee, format string, args ...any) {
		list = append(list, Violation{guarantee, fmt.Sprintf(format, args...)})
	}
	for _, ex := range rec.exchanges {
		rec.checkReply(ex, violate)
		rec.checkLevels(ex, violate)
		rec.checkPlannedStop(ex, violate)
		rec.checkOutages(ex, violate)
		rec.checkDraining(ex, violate)
		rec.checkEvacuations(ex, violate)
	}
	rec.checkProcesses(violate)
	rec.checkConfigurations(violate)
	rec.checkFatalRequests(violate)
	rec.checkFatalPrompts(violate)
	rec.checkSkews(violate)
	rec.checkRest(violate)
	rec.checkEndless(violate)
	rec.checkLeavingReported(violate)
	rec.checkLimits(violate)
	rec.checkLateRequests(violate)
	rec.summarizeCrashes()
	rec.countResumes()
	return list
}

// violationFunc records a violation of the named guarantee.
type violationFunc func(guarantee, format string, args ...any)

func (rec *recorder) checkReply(ex exchange, violate violationFunc) {
	runs := rec.runs[ex.request.ID]
	switch {
	case ex.reply.Mismatch != "":
		violate("own answer", "request %s to %s: %s", ex.request.ID, ex.box, ex.reply.Mismatch)
	case ex.reply.NotRun() && len(runs) > 0:
		violate("not run", "request %s to %s: status %d means that it did not run, but it ran on %s", ex.request.ID, ex.box, ex.reply.Status, runs[0].Target)
	}
	checkRetryAfter(ex, violate)
	if ex.atMostOnce && len(runs) > 1 {
		violate("at most once", "request %s to %s ran on %s and on %s", ex.request.ID, ex.box, runs[0].Target, runs[1].Target)
	}
	for _, r := range runs {
		if r.KeyForwarded || r.Organisation != ex.organisation {
			violate("keys", "request %s to %s: target received organisation %q, API key forwarded: %v", ex.request.ID, ex.box, r.Organisation, r.KeyForwarded)
		}
	}
}

// checkPlannedStop reports requests that a planned stop of their box cut. checkOutages has the check of requests
// to the group, checkLateRequests that of streams on kept connections. Requests to targets that are killed may end with them.
func (rec *recorder) checkPlannedStop(ex exchange, violate violationFunc) {
	if ex.group || ex.late || ex.crashing || ex.reply.Err == nil || ex.reply.ConnectionRefused() || ex.reply.TimedOut() {
		return
	}
	for _, s := range rec.stops[ex.box] {
		if ex.sentAt.Before(s.to) && ex.endedAt.After(s.from) && !rec.mayCut(ex) && rec.faultFree(ex.box, ex.sentAt, ex.endedAt, scopeBox, scopeTarget) {
			violate("planned stop", "request %s to %s failed %v after the stop signal: %v", ex.request.ID, ex.box, ex.endedAt.Sub(s.from), ex.reply.Err)
		}
	}
}

// checkProcesses reports processes that ended by themselves or logged a fault of their own, and those that a planned stop did not end in time.
func (rec *recorder) checkProcesses(violate violationFunc) {
	for _, exit := range rec.unexpectedExits {
		violate("processes", "%s ended by itself", exit)
	}
	for _, line := range rec.loggedFaults {
		violate("processes", "%s", line)
	}
	for _, s := range rec.overdueStops {
		if rec.faultFree(s.box, s.from, s.to, scopeBox) {
			violate("planned stop", "%s did not end within %v after the stop signal", s.box, s.to.Sub(s.from))
		}
	}
}

// checkRetryAfter reports a response that rejects a request for lack of capacity without stating when
// to retry.
func checkRetryAfter(ex exchange, violate violationFunc) {
	full := ex.reply.Status == http.StatusServiceUnavailable || ex.reply.Status == http.StatusTooManyRequests
	if full && ex.reply.RetryAfter <= 0 {
		violate("come back", "request %s to %s: status %d without a time to retry after", ex.request.ID, ex.box, ex.reply.Status)
	}
}

// checkDraining reports requests that reached a target more than drainBound after its entry in the
// store changed to draining.
func (rec *recorder) checkDraining(ex exchange, violate violationFunc) {
	for _, r := range rec.runs[ex.request.ID] {
		at, draining := rec.drainingSince[r.Target]
		bound := at.Add(drainBound + timingSlack)
		if draining && r.At.After(bound) && rec.faultFree(ex.box, at, r.At, scopeBox, scopeBoxStore, scopeStore) {
			violate("draining", "request %s to %s ran on %s %v after the target's entry changed to draining", ex.request.ID, ex.box, r.Target, r.At.Sub(at))
		}
	}
}

// checkConfigurations reports boxes that went back to an older configuration, or applied one too
// late.
func (rec *recorder) checkConfigurations(violate violationFunc) {
	list := append([]exchange(nil), rec.exchanges...)
	sort.Slice(list, func(i, j int) bool { return list[i].sentAt.Before(list[j].sentAt) })
	type process struct {
		box string
		n   int
	}
	newest := map[process]exchange{} // the exchange with the newest route that the process has served
	for _, ex := range list {
		if ex.boxStart == unknownStart {
			continue
		}
		key := process{ex.box, ex.boxStart}
		switch {
		case ex.reply.Status == 200 && ex.routeVersion >= newest[key].routeVersion:
			if before, ok := newest[key]; !ok || ex.routeVersion > before.routeVersion {
				newest[key] = ex
			}
		case ex.reply.Status == 404:
			if k := newest[key]; k.routeVersion >= ex.routeVersion && k.endedAt.Before(ex.sentAt) {
				violate("configuration", "%s returned 404 for a route of version %d after serving a route of version %d", ex.box, ex.routeVersion, k.routeVersion)
			}
			if at := rec.configStoredAt[ex.routeVersion]; ex.sentAt.After(at.Add(configApplyBound+timingSlack)) && rec.faultFree(ex.box, at, ex.endedAt, scopeBox, scopeBoxStore, scopeStore) {
				violate("configuration", "%s returned 404 for a route of version %d %v after the store accepted the version", ex.box, ex.routeVersion, ex.sentAt.Sub(at))
			}
		}
	}
}
