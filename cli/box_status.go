package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/cli/boxmetrics"
	"clovertrail.dev/core/wellformed"
)

// boxTimeout limits the time to read the metrics of all boxes, which are read at the same time. A box under
// load answers in well under a second.
const boxTimeout = 3 * time.Second

// boxFlag returns the flag with the addresses of boxes.
func boxFlag() ucli.Flag {
	return &ucli.StringSliceFlag{Name: "box", Usage: "also show the overload in the metrics of the boxes at `HOST:PORT[,HOST:PORT...]`, their settings' metrics address"}
}

// checkBoxes returns a usageError if an address is not of the form host:port.
func checkBoxes(addresses []string) error {
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a); err != nil {
			return usageError{fmt.Errorf("--box: %w", err)}
		}
	}
	return nil
}

// boxReading holds the metrics of a box, or the error if they cannot be read.
type boxReading struct {
	metrics boxmetrics.Metrics
	err     error
}

// boxStatus prints what the metrics of the boxes show. It returns an error if some boxes could not be read.
func (a *app) boxStatus(ctx context.Context, addresses []string) error {
	if len(addresses) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, boxTimeout)
	defer cancel()
	readings := make([]boxReading, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() { readings[i] = readBox(ctx, address) })
	}
	group.Wait()
	t, failed := boxTable(addresses, readings)
	_, _ = fmt.Fprintln(a.out)
	if err := a.print(t); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("metrics of %d of %d boxes could not be read; the result is partial", failed, len(addresses))
	}
	return nil
}

// readBox reads the metrics of a box.
func readBox(ctx context.Context, address string) boxReading {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return boxReading{err: err}
	}
	response, err := wellformed.Do(http.DefaultClient, request)
	if err != nil {
		return boxReading{err: err}
	}
	defer func() { _ = response.Body.Close() }() // the body was only read
	if response.StatusCode != http.StatusOK {
		return boxReading{err: boxmetrics.ErrInvalid.New("status %d", response.StatusCode)}
	}
	m, err := boxmetrics.Read(response.Body)
	return boxReading{metrics: m, err: err}
}

// boxTable has a row for each finding, and one for each box without findings or without metrics. It also returns the
// number of boxes without metrics.
func boxTable(addresses []string, readings []boxReading) (t table, failed int) {
	t.header = []string{"BOX", "OF", "OVERLOAD"}
	for i, r := range readings {
		findings := r.metrics.Findings()
		switch {
		case r.err != nil:
			failed++
			t.rows = append(t.rows, []string{addresses[i], "-", "unknown: " + r.err.Error()})
		case len(findings) == 0:
			t.rows = append(t.rows, []string{addresses[i], "-", "none"})
		}
		for _, f := range findings {
			t.rows = append(t.rows, []string{addresses[i], f.Subject, f.Text})
		}
	}
	return t, failed
}
