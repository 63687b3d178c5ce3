package soak

import "fmt"

// foreignRecords is how many records of another writer there are.
const foreignRecords = 10

// putForeignRecords puts records with all fields of a worker's. Nobody listens at their addresses.
func (r *Run) putForeignRecords() {
	for i := range foreignRecords {
		host := fmt.Sprint("m-other-", i)
		r.recordError(r.deployment.Fleet.Store.Put(fmt.Sprint("servers/i-other-", i), map[string]any{
			"service": queues[i%len(queues)], "addr": "127.0.0.1:1", "zone": "dc-0", "version": "v1", "slots": 8, "state": "ready", "seq": 1,
			"cold_left_ms": 0, "machine": host, "labels": []string{"a", "r1-1"}, "capacity": map[string]int{"cpu": 8000, "mem_mb": 16000},
		}))
	}
}
