package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// pack empties workers whose jobs fit on others in use, as long as the idle
// worker is worth more than the moves.
func (p *placer) pack() {
	if !p.packs() {
		return
	}
	order := slices.Clone(p.names)
	slices.SortStableFunc(order, func(a, b string) int {
		return cmp.Compare(len(p.benches[a].jobs), len(p.benches[b].jobs))
	})
	for _, n := range order {
		b := p.benches[n]
		moved := p.movedFrom(b)
		if len(b.jobs) > 0 && float64(moved)*p.MoveWeight < p.BufferWeight {
			p.empty(b)
		}
	}
}

// movedFrom counts the jobs of the worker that run there now; the others were
// to begin anyway.
func (p *placer) movedFrom(b *bench) int {
	n := 0
	for j := range b.jobs {
		if slices.Contains(p.Current[j], b.Name) {
			n++
		}
	}
	return n
}

// empty moves all jobs of the worker to others in use, without more of a job in
// a rack than before, or leaves all as it was.
func (p *placer) empty(b *bench) {
	type step struct {
		job string
		to  *bench
	}
	var done []step
	for _, j := range slices.Sorted(maps.Keys(b.jobs)) {
		p.take(b, j)
		limit := p.racks[j][b.Rack]
		to := p.best(j, func(o *bench) bool {
			return o != b && len(o.jobs) > 0 && (p.racks[j][o.Rack] <= limit || o.Rack == b.Rack)
		})
		if to == nil {
			p.put(b, j)
			for _, s := range done {
				p.take(s.to, s.job)
				p.put(b, s.job)
			}
			return
		}
		p.put(to, j)
		done = append(done, step{j, to})
	}
}
