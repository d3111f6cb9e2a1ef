// Package telemetry provides logging and metrics for the programs.
//
// A log has one line of key=value pairs for each event. Metrics are counters, gauges and
// histograms, served for scraping; refusals and retries are counted for each kind or reason.
//
// # Usage
//
//	c := telemetry.New(os.Stdout, "entry-1")
//	c.Log.Info("started", "callers", addr)
//	c.Metrics.CountRefusal(fault.Overloaded)
//	http.Handle("/metrics", c.Metrics.Handler())
package telemetry
