package fleet

import (
	"slices"

	"amberway/config"
)

// runWaves starts the drain of the next hosts of each running wave.
func (p *planner) runWaves() {
	for _, v := range p.Document.Waves {
		if v.State == config.WaveRunning {
			p.runWave(v)
		}
	}
}

func (p *planner) runWave(v config.Wave) {
	inMaintenance, overdue := p.countInWave(v.Name)
	if overdue >= v.FailureLimit {
		p.note("wave " + v.Name + " is stopped: hosts have not come back")
		return
	}
	for _, n := range p.candidates(v) {
		if inMaintenance >= v.MaxInMaintenance {
			return
		}
		w := p.out.Record.Hosts[n]
		w.Wave = v.Name
		if p.drain(n, w) {
			inMaintenance++
		}
	}
}

// countInWave returns how many hosts are in maintenance for the wave, and how many
// of them are overdue from their reboot.
func (p *planner) countInWave(name string) (inMaintenance, overdue int) {
	for _, w := range p.out.Record.Hosts {
		if w.Wave != name {
			continue
		}
		inMaintenance++
		if w.State == Overdue {
			overdue++
		}
	}
	return inMaintenance, overdue
}

// candidates returns the hosts that the wave still has to maintain, ordered by rack.
// A rack of which some hosts are out of service already costs the least budget, since
// the budget covers the loss of one whole rack.
func (p *planner) candidates(v config.Wave) []string {
	var l []string
	for _, n := range p.out.Record.Names() {
		w := p.out.Record.Hosts[n]
		if w.State != InService || w.Held || slices.Contains(w.Done, v.Name) {
			continue
		}
		if _, ok := p.listed[n]; ok && slices.Contains(v.Pools, w.Pool) {
			l = append(l, n)
		}
	}
	slices.SortStableFunc(l, func(a, b string) int {
		ra := p.listed[a].Rack
		rb := p.listed[b].Rack
		switch {
		case ra < rb:
			return -1
		case ra > rb:
			return 1
		}
		return 0
	})
	return l
}

func (p *planner) waveState(name string) config.WaveState {
	for _, w := range p.Document.Waves {
		if w.Name == name {
			return w.State
		}
	}
	return ""
}

// forgetWaves removes waves that the configuration no longer has from Done.
func (p *planner) forgetWaves(name string, w HostStatus) {
	keep := slices.DeleteFunc(slices.Clone(w.Done), func(n string) bool { return p.waveState(n) == "" })
	if len(keep) == len(w.Done) {
		return
	}
	w.Done = keep
	p.setHost(name, w)
}
