package config_test

import (
	"fmt"

	"amberway/config"
)

func ExampleSelector_Matches() {
	s := config.Selector{"role": {"tint"}, "house": {"antigua", "xela"}}
	fmt.Println(s.Matches(map[string]string{"role": "tint", "house": "xela"}))
	fmt.Println(s.Matches(map[string]string{"role": "tint"}))
	// Output:
	// true
	// false
}

func ExampleSelector_Disjoint() {
	a := config.Selector{"role": {"tint"}}
	fmt.Println(a.Disjoint(config.Selector{"role": {"mixing"}}))
	fmt.Println(a.Disjoint(config.Selector{"house": {"xela"}}))
	// Output:
	// true
	// false
}

func ExampleParse() {
	_, err := config.Parse([]byte("operator: small\ndata_centres: [north]\nwaves: [{name: w, pools: [p]}]\n"))
	fmt.Println(err)
	// Output:
	// config: 1 faults
	//   waves[0].pools[0]: there is no pool "p"
}
