package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"amberway/config"
	"amberway/platform"
)

// benchWorld is a fleet with so many pools, all hosts in service.
func benchWorld(hosts, pools int) Input {
	d := &config.Document{DataCentres: []string{testDC}, Teams: []config.Team{{Name: "t"}}}
	names := make([]string, 0, pools)
	for n := range pools {
		p := fmt.Sprintf("pool-%03d", n)
		names = append(names, p)
		d.Pools = append(d.Pools, config.Pool{
			Name: p, Team: "t", Select: config.Selector{"pool": {p}},
			Budget: config.Budget{Available: map[string]int{testDC: hosts / pools / 2}},
		})
	}
	d.Waves = []config.Wave{{Name: "w", Pools: names, Limit: 10, Failures: 3, State: config.WaveRunning}}
	now := time.Unix(1e9, 0)
	l := platform.HostList{AsOf: now}
	for n := range hosts {
		l.Hosts = append(l.Hosts, platform.Host{
			Name: fmt.Sprintf("host-%05d", n), DataCentre: testDC, Rack: fmt.Sprint("rack-", n/4),
			Labels: map[string]string{"pool": names[n%pools]}, Live: true, Boot: 1, Slots: 8,
		})
	}
	in := Input{Now: now, Document: d, Generation: 1, DataCentre: testDC, List: l}
	in.Record = Plan(in).Record
	in.Record.Generation = 1
	return in
}

// BenchmarkPlan is one plan, and the size of the record that it is made from.
func BenchmarkPlan(b *testing.B) {
	for _, v := range []struct{ hosts, pools int }{{50, 5}, {500, 50}, {1000, 259}, {5000, 259}, {10000, 259}} {
		b.Run(fmt.Sprintf("hosts=%d/pools=%d", v.hosts, v.pools), func(b *testing.B) {
			in := benchWorld(v.hosts, v.pools)
			r, err := json.Marshal(in.Record)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(in)
			}
			b.ReportMetric(float64(len(r)), "record-bytes")
		})
	}
}

// waveFigures are what one wave costs.
type waveFigures struct {
	rollOut time.Duration
	drains  int
	buffer  int
}

// playWave runs one wave over a pool to its end, with reboots of five minutes,
// and with all drains idle after one.
func playWave(hosts, racks, limit int) waveFigures {
	d, l := world(hosts, racks)
	d.Waves[0].Limit = limit
	now := time.Unix(1e9, 0)
	start := now
	r := Record{}
	var f waveFigures
	back := map[string]time.Time{}
	for range 1 << 20 {
		now = now.Add(10 * time.Second)
		l.AsOf = now
		idle := map[string]int64{}
		done := 0
		for n, w := range r.Hosts {
			if w.State == Draining {
				idle[n] = w.Term
			}
			if len(w.Done) == 1 && w.State == InService {
				done++
			}
		}
		if done == hosts {
			f.rollOut = now.Sub(start)
			return f
		}
		for i := range l.Hosts {
			if at, ok := back[l.Hosts[i].Name]; ok && !now.Before(at) {
				l.Hosts[i].Boot++
				l.Hosts[i].Live = true
				delete(back, l.Hosts[i].Name)
			}
		}
		o := Plan(Input{Now: now, Document: d, Generation: 1, DataCentre: testDC, Record: r, List: l, Idle: idle})
		r = o.Record
		r.Generation = 1
		for _, v := range o.Orders {
			if _, ok := back[v.Host]; ok {
				continue
			}
			back[v.Host] = now.Add(5 * time.Minute)
			f.drains++
			for i := range l.Hosts {
				if l.Hosts[i].Name == v.Host {
					l.Hosts[i].Live = false
				}
			}
		}
		t := Tallies(now, d, testDC, r, l)["a"]
		f.buffer = max(f.buffer, t.Buffer())
	}
	return f
}

// BenchmarkWave gives the roll-out of one wave over the hosts of one data
// centre of today's deployments, against one host at a time and against the
// bound that the budget sets: the hosts, over what the budget lets go at once,
// times the five minutes of one reboot.
func BenchmarkWave(b *testing.B) {
	for _, v := range []struct {
		name         string
		hosts, racks int
	}{{"data-centre-of-12", 12, 3}, {"data-centre-of-48", 48, 12}, {"data-centre-of-200", 200, 50}} {
		largest := (v.hosts + v.racks - 1) / v.racks
		atOnce := v.hosts - v.hosts/2 - largest
		for _, limit := range []int{1, atOnce} {
			b.Run(fmt.Sprintf("%s/limit=%d", v.name, limit), func(b *testing.B) {
				var f waveFigures
				for b.Loop() {
					f = playWave(v.hosts, v.racks, limit)
				}
				bound := time.Duration((v.hosts+atOnce-1)/atOnce) * 5 * time.Minute
				b.ReportMetric(f.rollOut.Minutes(), "roll-out-min")
				b.ReportMetric(bound.Minutes(), "bound-min")
				b.ReportMetric(float64(f.drains)/float64(v.hosts), "drains/host")
				b.ReportMetric(float64(f.buffer), "buffer-hosts")
			})
		}
	}
}
