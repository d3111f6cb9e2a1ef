package config_test

import (
	"fmt"

	"clovertrail.dev/config"
	"clovertrail.dev/core/domain"
)

func ExampleReplica() {
	s := &record{objects: map[string][]byte{}}
	r := config.NewReplica()
	o, _ := domain.NewOrganisation("league", 10)
	out, err := s.propose(config.Write("op-1", o).IfVersion(0), r)
	fmt.Println(out.Version(), err)
	s.catchUp(r)
	item, ok := r.Get(domain.KindOrganisation, "league")
	fmt.Println(ok, item.Version())
	// Output:
	// 1 <nil>
	// true 1
}
