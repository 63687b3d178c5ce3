package fleet

import (
	"slices"
	"time"

	"amberway/config"
)

// RebootEstimate is what a preview takes a drain and a reboot to last.
const RebootEstimate = 5 * time.Minute

// Preview is what a configuration comes to in one data centre before it is
// applied.
type Preview struct {
	// HostMoves counts hosts that change their pool or are let go.
	HostMoves int `json:"host_moves"`
	// HostsAdded counts hosts that a pool takes in.
	HostsAdded int `json:"hosts_added"`
	// JobMoves counts jobs that leave a host and begin on another.
	JobMoves int64 `json:"job_moves"`
	// Buffer counts the available hosts above the budgets of their pools.
	Buffer int `json:"buffer_hosts"`
	// Cost is moves and buffer by the document's weights.
	Cost float64 `json:"cost"`
	// Waves gives the roll-out time of each wave, as if it started now.
	Waves []WavePreview `json:"waves"`
	// Unplaced says why a job lacks replicas.
	Unplaced map[string]string `json:"unplaced,omitempty"`
	// Blocked says why a host cannot be moved or taken in.
	Blocked map[string]string `json:"blocked,omitempty"`
}

// WavePreview is how long one wave takes.
type WavePreview struct {
	Name  string `json:"name"`
	Hosts int    `json:"hosts"`
	// AtOnce is the most hosts in maintenance at once that limit and budgets
	// allow.
	AtOnce int `json:"at_once"`
	// RollOut is in nanoseconds; zero where the budgets allow nothing.
	RollOut time.Duration `json:"roll_out_nanoseconds"`
}

// PreviewOf returns what the plan's document comes to. Nothing is changed.
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
	t := PoolCapacities(in.Now, in.Document, in.DataCentre, o.Record, in.List)
	for _, v := range t {
		p.Buffer += v.Buffer()
	}
	g := in.Document.Placement
	p.Cost = g.MoveWeight*float64(p.JobMoves+int64(p.HostMoves)) + g.BufferWeight*float64(p.Buffer)
	for _, v := range in.Document.Waves {
		p.Waves = append(p.Waves, previewWave(v, o.Record, t))
	}
	return p
}

func previewWave(v config.Wave, r Record, t map[string]*PoolCapacity) WavePreview {
	w := WavePreview{Name: v.Name}
	for _, h := range r.Hosts {
		if slices.Contains(v.Pools, h.Pool) && !slices.Contains(h.Done, v.Name) {
			w.Hosts++
		}
	}
	for _, n := range v.Pools {
		w.AtOnce += t[n].maxUnavailable()
	}
	w.AtOnce = min(w.AtOnce, v.MaxInMaintenance)
	if w.AtOnce > 0 {
		w.RollOut = time.Duration((w.Hosts+w.AtOnce-1)/w.AtOnce) * RebootEstimate
	}
	return w
}

// maxUnavailable is how many hosts the pool may lose at once to maintenance.
func (t *PoolCapacity) maxUnavailable() int {
	return max(0, t.Available-t.MinAvailable-t.LargestRack)
}
