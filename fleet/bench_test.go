package fleet

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"amberway/config"
	"amberway/platform"
)

// benchInput returns a fleet with the given number of pools, all hosts in service.
func benchInput(hosts, pools int) Input {
	d := &config.Document{DataCentres: []string{testDC}, Teams: []config.Team{{Name: "t"}}}
	names := make([]string, 0, pools)
	for n := range pools {
		p := fmt.Sprintf("pool-%03d", n)
		names = append(names, p)
		d.Pools = append(d.Pools, config.Pool{
			Name: p, Team: "t", Select: config.Selector{"pool": {p}},
			Budget: config.Budget{MinAvailable: map[string]int{testDC: hosts / pools / 2}},
		})
		d.Services = append(d.Services, config.Service{Name: p, Pool: p, Jobs: []config.Job{{Name: "placed", Replicas: 2, Accelerators: 1}}})
	}
	d.Waves = []config.Wave{{Name: "w", Pools: names, MaxInMaintenance: 10, FailureLimit: 3, State: config.WaveRunning}}
	now := time.Unix(1e9, 0)
	l := platform.HostList{AsOf: now}
	for n := range hosts {
		l.Hosts = append(l.Hosts, platform.Host{
			Name: fmt.Sprintf("host-%05d", n), DataCentre: testDC, Rack: fmt.Sprint("rack-", n/4),
			Labels: map[string]string{"pool": names[n%pools]}, Live: true, Boot: 1, Slots: 8, Accelerators: 1,
		})
	}
	in := Input{Now: now, Document: d, Generation: 1, DataCentre: testDC, List: l}
	in.Record = Plan(in).Record
	in.Record.Generation = 1
	return in
}

// BenchmarkPlan measures one plan, and reports the size of its input record.
func BenchmarkPlan(b *testing.B) {
	for _, v := range []struct{ hosts, pools int }{{50, 5}, {500, 50}, {1000, 259}, {5000, 259}, {10000, 259}} {
		b.Run(fmt.Sprintf("hosts=%d/pools=%d", v.hosts, v.pools), func(b *testing.B) {
			in := benchInput(v.hosts, v.pools)
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

// waveSimulation simulates one wave over a pool. Reboots take RebootEstimate, and every
// draining host is idle after one step.
type waveSimulation struct {
	doc        *config.Document
	list       platform.HostList
	record     Record
	now        time.Time
	rebootEnds map[string]time.Time
	drains     int
	buffer     int
}

// waveStep is the simulated time between two plans.
const waveStep = 10 * time.Second

func newWaveSimulation(hosts, racks, limit int) *waveSimulation {
	d, l := smallFleet(hosts, racks)
	d.Waves[0].MaxInMaintenance = limit
	return &waveSimulation{doc: d, list: l, now: time.Unix(1e9, 0), rebootEnds: map[string]time.Time{}}
}

// run simulates the whole wave and returns its roll-out time.
func (w *waveSimulation) run() time.Duration {
	start := w.now
	for w.done() < len(w.list.Hosts) {
		w.now = w.now.Add(waveStep)
		w.list.AsOf = w.now
		w.endReboots()
		w.plan()
	}
	return w.now.Sub(start)
}

func (w *waveSimulation) done() int {
	n := 0
	for _, r := range w.record.Hosts {
		if len(r.Done) == 1 && r.State == InService {
			n++
		}
	}
	return n
}

// endReboots returns the hosts whose reboots are over.
func (w *waveSimulation) endReboots() {
	for i := range w.list.Hosts {
		h := &w.list.Hosts[i]
		if at, ok := w.rebootEnds[h.Name]; ok && !w.now.Before(at) {
			h.Boot++
			h.Live = true
			delete(w.rebootEnds, h.Name)
		}
	}
}

func (w *waveSimulation) plan() {
	o := Plan(Input{Now: w.now, Document: w.doc, Generation: 1, DataCentre: testDC, Record: w.record, List: w.list, IdleTerms: allIdle(w.record)})
	w.record = o.Record
	w.record.Generation = 1
	for _, v := range o.Orders {
		w.reboot(v.Host)
	}
	w.buffer = max(w.buffer, PoolCapacities(w.now, w.doc, testDC, w.record, w.list)["a"].Buffer())
}

func (w *waveSimulation) reboot(name string) {
	if _, ok := w.rebootEnds[name]; ok {
		return
	}
	w.rebootEnds[name] = w.now.Add(RebootEstimate)
	w.drains++
	for i := range w.list.Hosts {
		if w.list.Hosts[i].Name == name {
			w.list.Hosts[i].Live = false
		}
	}
}

// BenchmarkWave measures the roll-out of one wave over data centres of the sizes in
// use, with one host at a time and with as many as the budget allows at once. It
// reports the lower bound that the budget sets: the number of hosts, divided by the
// number that may be in maintenance at once, times the five minutes of one reboot.
func BenchmarkWave(b *testing.B) {
	for _, v := range []struct {
		name         string
		hosts, racks int
	}{{"data-centre-of-12", 12, 3}, {"data-centre-of-48", 48, 12}, {"data-centre-of-200", 200, 50}} {
		largest := (v.hosts + v.racks - 1) / v.racks
		atOnce := v.hosts - v.hosts/2 - largest
		for _, limit := range []int{1, atOnce} {
			b.Run(fmt.Sprintf("%s/limit=%d", v.name, limit), func(b *testing.B) {
				var w *waveSimulation
				var took time.Duration
				for b.Loop() {
					w = newWaveSimulation(v.hosts, v.racks, limit)
					took = w.run()
				}
				bound := time.Duration((v.hosts+atOnce-1)/atOnce) * RebootEstimate
				b.ReportMetric(took.Minutes(), "roll-out-min")
				b.ReportMetric(bound.Minutes(), "bound-min")
				b.ReportMetric(float64(w.drains)/float64(v.hosts), "drains/host")
				b.ReportMetric(float64(w.buffer), "buffer-hosts")
			})
		}
	}
}
