package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// pack empties workers whose replicas fit on other workers in use, where an idle
// worker is worth more than the moves.
func (p *placer) pack() {
	if !p.prefersPacking() {
		return
	}
	order := slices.Clone(p.names)
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(len(p.states[a].jobs), len(p.states[b].jobs))
	})
	for _, n := range order {
		w := p.states[n]
		moved := p.movesToEmpty(w)
		if len(w.jobs) > 0 && float64(moved)*p.MoveWeight < p.BufferWeight {
			p.tryEmpty(w)
		}
	}
}

// movesToEmpty counts the moves that empty the worker. Replicas that are not there
// yet in the current placement cost none.
func (p *placer) movesToEmpty(w *workerState) int {
	n := 0
	for j := range w.jobs {
		if slices.Contains(p.Current[j], w.Name) {
			n++
		}
	}
	return n
}

// tryEmpty moves all replicas of the worker to other workers in use, or changes
// nothing. A replica goes to another rack only if that rack then has no more replicas
// of the job than the worker's rack had.
func (p *placer) tryEmpty(w *workerState) {
	type step struct {
		job string
		to  *workerState
	}
	var done []step
	for _, j := range slices.Sorted(maps.Keys(w.jobs)) {
		p.unassign(w, j)
		limit := p.racks[j][w.Rack]
		to := p.bestWorker(j, func(o *workerState) bool {
			return o != w && len(o.jobs) > 0 && (p.racks[j][o.Rack] <= limit || o.Rack == w.Rack)
		})
		if to == nil {
			p.assign(w, j)
			for _, s := range done {
				p.unassign(s.to, s.job)
				p.assign(w, s.job)
			}
			return
		}
		p.assign(to, j)
		done = append(done, step{j, to})
	}
}
