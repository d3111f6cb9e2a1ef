// Package faultproxy is a loopback proxy that injects the faults of networks and of processes that end: silence, delay, resets and
// refused connections.
//
// # Usage
//
//	p, err := faultproxy.New("127.0.0.1:8080")
//	client.Get("http://" + p.Address())
//	p.SetMode(faultproxy.Blackhole)
package faultproxy
