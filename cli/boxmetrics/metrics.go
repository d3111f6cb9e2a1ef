package boxmetrics

import (
	"io"
	"math"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/zeebo/errs"

	"clovertrail.dev/telemetry"
)

// ErrInvalid is the class of the errors that a text is not the metrics of a box.
var ErrInvalid = errs.Class("invalid metrics")

// maxBytes bounds the memory for a response; the metrics of a box are some hundred lines.
const maxBytes = 4 << 20

// prefix begins the names of all metrics of a box.
const prefix = "clovertrail_"

// Metrics are the values of one box by name and reason.
type Metrics struct {
	values map[telemetry.Name]map[string]float64
}

// Read parses the Prometheus text format. The error is of class ErrInvalid if the text cannot be parsed, has no
// metrics of a box, or a value that Findings uses is not a finite number from 0 on.
func Read(r io.Reader) (Metrics, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return Metrics{}, err
	}
	if len(raw) > maxBytes {
		return Metrics{}, ErrInvalid.New("more than %d bytes", maxBytes)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(string(raw)))
	if err != nil {
		return Metrics{}, ErrInvalid.Wrap(err)
	}
	m, known := Metrics{values: map[telemetry.Name]map[string]float64{}}, false
	for name, family := range families {
		known = known || strings.HasPrefix(name, prefix)
		if err := m.add(telemetry.Name(name), family); err != nil {
			return Metrics{}, err
		}
	}
	if !known {
		return Metrics{}, ErrInvalid.New("no name begins with %s", prefix)
	}
	return m, nil
}

// add adds the values of a family, if a finding uses it.
func (m Metrics) add(name telemetry.Name, family *dto.MetricFamily) error {
	if !used[name] {
		return nil
	}
	m.values[name] = map[string]float64{}
	for _, metric := range family.GetMetric() {
		v := metric.GetUntyped().GetValue() + metric.GetGauge().GetValue() + metric.GetCounter().GetValue() // one of them is set
		reason := reasonOf(metric)
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return ErrInvalid.New("%s of %q is %v", name, reason, v)
		}
		m.values[name][reason] = v
	}
	return nil
}

// reasonOf returns the value of the only label that the metrics of a box have.
func reasonOf(metric *dto.Metric) string {
	for _, label := range metric.GetLabel() {
		if label.GetName() == "reason" {
			return label.GetValue()
		}
	}
	return ""
}
