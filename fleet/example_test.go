package fleet_test

import (
	"fmt"

	"amberway/fleet"
)

func ExamplePlace() {
	out := fleet.Place(fleet.PlaceInput{
		Jobs: []fleet.JobSpec{
			{Name: "search/query", Replicas: 2, Need: fleet.Resources{Processors: 4}},
			{Name: "media/transcode", Replicas: 1, Need: fleet.Resources{Processors: 64}},
		},
		Workers: []fleet.Worker{
			{Name: "w1", Rack: "r1", Capacity: fleet.Resources{Processors: 16}},
			{Name: "w2", Rack: "r1", Capacity: fleet.Resources{Processors: 16}},
			{Name: "w3", Rack: "r2", Capacity: fleet.Resources{Processors: 16}},
		},
	})
	fmt.Println(out.Placement["search/query"])
	fmt.Println(out.Unplaced["media/transcode"])
	// Output:
	// [w1 w3]
	// no worker has 64 processors, 0 bytes of memory and 0 accelerators
}
