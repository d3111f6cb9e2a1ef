// Package local runs a whole system in one process: the platform's stand-in,
// entry boxes, agents and fake targets, in several data halls, over a network
// whose links can be cut. The demonstration and the end-to-end tests stand on
// it.
//
// # Usage
//
//	sys := local.Start(local.Layout{Halls: []domain.HallName{"hall-1"}, Entries: 1,
//		Services: []local.ServiceLayout{{Name: "advice", Type: domain.ModelService, Targets: 2}}})
//	defer sys.Close()
//	resp, err := sys.Client("hall-1").Post(sys.URL(0)+"/advice/v1/generate", "", body)
package local
