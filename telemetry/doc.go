// Package telemetry gives the programs their logs and metrics.
//
// Logs are one line of key=value pairs for each event. Metrics are counters, gauges and
// histograms, served for scraping; each refusal kind and each retry reason is counted by itself.
//
// # Usage
//
//	c := telemetry.New(os.Stdout, "entry-1")
//	c.Log.Info("started", "callers", addr)
//	c.Metrics.Refused(fault.Overloaded)
//	http.Handle("/metrics", c.Metrics.Handler())
package telemetry
