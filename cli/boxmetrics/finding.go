package boxmetrics

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"clovertrail.dev/telemetry"
)

// highSkew is the skew above which steps are so long that streams become late, as for
// clovertrail_skew_high_seconds.
const highSkew = 1.5

// Finding is one sign of overload.
type Finding struct {
	Subject string // the group or the service
	Text    string
}

// signs lists the gauges that are reported by group or service, in the order of the findings.
var signs = []struct {
	name    telemetry.Name
	subject string
	shown   func(v float64) bool
	text    string // with a verb for the value
}{
	{telemetry.ConcurrencyLimit, "group", func(v float64) bool { return v < 1 }, "limits new callers to %.2f of its slots"},
	{telemetry.Queued, "service", func(v float64) bool { return v > 0 }, "%g requests wait for a group to open"},
	{telemetry.StepSkew, "group", func(v float64) bool { return v > highSkew }, "has a skew of %.2f"},
	{telemetry.SlowRanks, "group", func(v float64) bool { return v > 0 }, "has %g slow ranks"},
}

// used names the metrics that findings are made of.
var used = func() map[telemetry.Name]bool {
	names := map[telemetry.Name]bool{telemetry.Shed: true}
	for _, s := range signs {
		names[s.name] = true
	}
	return names
}()

// Findings returns the signs of overload. Refusals are counted since the box started; they are by class, and
// classes of services with the same number of classes are counted together.
func (m Metrics) Findings() []Finding {
	var list []Finding
	for _, s := range signs {
		values := m.values[s.name]
		for _, reason := range slices.Sorted(maps.Keys(values)) {
			if v := values[reason]; s.shown(v) {
				list = append(list, Finding{Subject: s.subject + " " + reason, Text: fmt.Sprintf(s.text, v)})
			}
		}
	}
	return append(list, refusals(m.values[telemetry.Shed])...)
}

// refusedClass is a class with its refusals.
type refusedClass struct {
	name        string
	rank, count int
	n           float64
}

// refusals returns a finding for each number of classes that services have, the most urgent class first.
func refusals(shed map[string]float64) []Finding {
	var classes []refusedClass
	for name, n := range shed {
		rank, count, _ := strings.Cut(name, "/")
		c := refusedClass{name: name, n: n}
		c.rank, _ = strconv.Atoi(rank) // a name that is no class is listed as the most urgent of none
		c.count, _ = strconv.Atoi(count)
		if n > 0 {
			classes = append(classes, c)
		}
	}
	slices.SortFunc(classes, func(a, b refusedClass) int {
		return cmp.Or(cmp.Compare(a.count, b.count), cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	var list []Finding
	for len(classes) > 0 {
		first := classes[0]
		text := fmt.Sprintf("new callers refused since the box started, from class %s on:", first.name)
		for len(classes) > 0 && classes[0].count == first.count {
			text += fmt.Sprintf(" %s %g", classes[0].name, classes[0].n)
			classes = classes[1:]
		}
		list = append(list, Finding{Subject: fmt.Sprintf("services of %d classes", first.count), Text: text})
	}
	return list
}
