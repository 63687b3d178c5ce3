package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// pack empties workers whose jobs fit on others in use, as long as the idle
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
		b := p.states[n]
		moved := p.movesToEmpty(b)
		if len(b.jobs) > 0 && float64(moved)*p.MoveWeight < p.BufferWeight {
			p.tryEmpty(b)
		}
	}
}

// movesToEmpty counts the jobs of the worker that run there now; the others were
// to begin anyway.
func (p *placer) movesToEmpty(b *workerState) int {
	n := 0
	for j := range b.jobs {
		if slices.Contains(p.Current[j], b.Name) {
			n++
		}
	}
	return n
}

// tryEmpty moves all jobs of the worker to others in use, without more of a job in
// a rack than before, or leaves all as it was.
func (p *placer) tryEmpty(b *workerState) {
	type step struct {
		job string
		to  *workerState
	}
	var done []step
	for _, j := range slices.Sorted(maps.Keys(b.jobs)) {
		p.unassign(b, j)
		limit := p.racks[j][b.Rack]
		to := p.bestWorker(j, func(o *workerState) bool {
			return o != b && len(o.jobs) > 0 && (p.racks[j][o.Rack] <= limit || o.Rack == b.Rack)
		})
		if to == nil {
			p.assign(b, j)
			for _, s := range done {
				p.unassign(s.to, s.job)
				p.assign(b, s.job)
			}
			return
		}
		p.assign(to, j)
		done = append(done, step{j, to})
	}
}
