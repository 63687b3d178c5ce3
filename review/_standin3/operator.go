package main

import "fmt"

// Names of the deployment.
const (
	sparePool = "svc-spare"
	callHost  = "jobs.example"
)

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	retries               int
	advice                *adviceTimes
}

// configure writes a configuration as the operator does.
func (p *platform) configure(version int, services []string, routes []route) error {
	type object = map[string]any
	s := []object{{"name": sparePool, "headroom": true, "rejects_overload": true}}
	for _, n := range services {
		s = append(s, object{"name": n, "rejects_overload": true})
	}
	l := []object{}
	for _, r := range routes {
		o := object{
			"name": r.name, "host": callHost, "prefix": r.prefix, "service": r.service, "timeout_ms": 3000, "goal_ms": 600,
			"stretch": 1.6, "retries": r.retries, "priority": 0,
		}
		if r.advice != nil {
			o["advice"] = r.advice
		}
		l = append(l, o)
	}
	return p.store.Put("op/config", object{
		"version": version, "routes": l, "services": s,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
	})
}

// requestWave asks for the upkeep of machines as the operator does.
func (p *platform) requestWave(number int, machines []string, withinS, atOnce int) error {
	return p.store.Put(fmt.Sprintf("op/wave/%d", number), map[string]any{"wave": number, "machines": machines, "within_s": withinS, "cap": atOnce})
}
