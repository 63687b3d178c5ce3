package main

import "time"

// waveCase asks for the upkeep of the machines of one of two pools, which are two whole racks. One task of a
// lasting job runs on each machine of both pools, and the spare pool is empty. Jobs that come meanwhile
// have to begin: nearly all of the capacity is free.
func waveCase(d *deployment) error {
	const prefix, pool, otherPrefix, otherPool = "/tints/", "svc-a", "/labels/", "svc-b"
	const machines, otherMachines, atOnce, withinS = 8, 10, 6, 26
	size := capacity{CPU: 16000, MemMB: 32768}
	if err := d.addMachines(pool, machines, size); err != nil {
		return err
	}
	if err := d.addMachines(otherPool, otherMachines, size); err != nil {
		return err
	}
	routes := []route{{name: "tints", prefix: prefix, service: pool, retries: 3}, {name: "labels", prefix: otherPrefix, service: otherPool, retries: 3}}
	if err := d.configure(3, []string{pool, otherPool}, routes); err != nil {
		return err
	}
	if err := d.startEntries(3); err != nil {
		return err
	}
	if err := d.submitLasting(prefix, "00000000000da000", machines); err != nil {
		return err
	}
	if err := d.submitLasting(otherPrefix, "00000000000db000", otherMachines); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	if d.trouble {
		var names []string
		for _, m := range d.machines[:machines] {
			names = append(names, m.Name)
		}
		d.logf("TROUBLE a wave of %v, %d at once, within %d s", names, atOnce, withinS)
		if err := d.requestWave(1, names, withinS, atOnce); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	for i := range 5 {
		if err := d.expectBegin(prefix, pool, smallJob(i)); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	b, _ := d.store.Value("status/wave/1")
	d.logf("status of the wave: %s", b)
	return nil
}
