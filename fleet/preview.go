package fleet

import (
	"slices"
	"time"

	"amberway/config"
)

// RebootEstimate is the assumed time of one drain and reboot.
const RebootEstimate = 5 * time.Minute

// Preview describes the effects of a configuration in one data centre before it is
// applied.
type Preview struct {
	// HostMoves counts hosts that change their pool or leave all pools.
	HostMoves int `json:"host_moves"`
	// HostsAdded counts hosts that are added to a pool.
	HostsAdded int `json:"hosts_added"`
	// JobMoves counts replicas of jobs that change their host.
	JobMoves int64 `json:"job_moves"`
	// Buffer counts the available hosts beyond what the budgets require.
	Buffer int `json:"buffer_hosts"`
	// Cost is the sum of moves and buffer, weighted as the document says.
	Cost float64 `json:"cost"`
	// Waves estimates the roll-out of each wave, as if it started now.
	Waves []WavePreview `json:"waves"`
	// Unplaced gives the reason for each job that lacks replicas.
	Unplaced map[string]string `json:"unplaced,omitempty"`
	// Blocked gives the reason for each host whose addition, drain, reboot or move
	// has to wait.
	Blocked map[string]string `json:"blocked,omitempty"`
}

// WavePreview estimates the roll-out of one wave.
type WavePreview struct {
	Name  string `json:"name"`
	Hosts int    `json:"hosts"`
	// AtOnce is the largest number of hosts in maintenance at the same time that
	// the wave's limit and the budgets allow.
	AtOnce int `json:"at_once"`
	// RollOut is the estimated time; zero if the budgets allow no drain.
	RollOut time.Duration `json:"roll_out_nanoseconds"`
}

// PreviewOf returns the effects of the input's document. It changes nothing.
func PreviewOf(in Input) Preview {
	in.Generation = max(in.Generation, in.Record.Generation)
	o := Plan(in)
	p := Preview{
		JobMoves: o.Record.Moves - in.Record.Moves,
		Unplaced: o.Record.Unplaced,
		Blocked:  o.Blocked,
	}
	for n, w := range o.Record.Hosts {
		if _, ok := in.Record.Hosts[n]; !ok {
			p.HostsAdded++
		}
		if w.Moving {
			p.HostMoves++
		}
	}
	capacities := PoolCapacities(in.Now, in.Document, in.DataCentre, o.Record, in.List)
	for _, v := range capacities {
		p.Buffer += v.Buffer()
	}
	g := in.Document.Placement
	p.Cost = g.MoveWeight*float64(p.JobMoves+int64(p.HostMoves)) + g.BufferWeight*float64(p.Buffer)
	for _, v := range in.Document.Waves {
		p.Waves = append(p.Waves, previewWave(v, o.Record, capacities))
	}
	return p
}

func previewWave(v config.Wave, r Record, capacities map[string]*PoolCapacity) WavePreview {
	w := WavePreview{Name: v.Name}
	for _, h := range r.Hosts {
		if slices.Contains(v.Pools, h.Pool) && !slices.Contains(h.Done, v.Name) {
			w.Hosts++
		}
	}
	for _, n := range v.Pools {
		w.AtOnce += capacities[n].maxUnavailable()
	}
	w.AtOnce = min(w.AtOnce, v.MaxInMaintenance)
	if w.AtOnce > 0 {
		w.RollOut = time.Duration((w.Hosts+w.AtOnce-1)/w.AtOnce) * RebootEstimate
	}
	return w
}

// maxUnavailable returns how many hosts of the pool may be in maintenance at once, so
// that the pool keeps its required minimum if the largest rack is lost as well.
func (c *PoolCapacity) maxUnavailable() int {
	return max(0, c.Available-c.MinAvailable-c.LargestRack)
}
