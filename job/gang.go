package job

// placeGang starts all tasks of a gang at once, or none if there is no room for all.
func (c *Core) placeGang(free []*worker, s *step) {
	if s.idle < s.remaining || s.remaining < len(s.tasks) {
		return
	}
	for _, t := range s.tasks {
		if !c.mayStart(t) {
			return
		}
	}
	if !s.withinCap(int64(len(s.tasks))) {
		return
	}
	var plan []*worker
	if s.SameRack {
		plan = c.planInOneRack(free, s)
	}
	if plan == nil {
		plan = c.planGang(free, s)
	}
	if plan == nil {
		return
	}
	s.shareSnapshot()
	n := c.nextRun()
	for i, t := range s.tasks {
		ticket, _ := c.ticket(s, plan[i])
		c.start(t, plan[i], n, ticket)
	}
}

// shareSnapshot gives all members of a gang the snapshot that was received last: those that bring different
// ones do not work together, and the snapshot of any member is good for all.
func (s *step) shareSnapshot() {
	last := s.tasks[0]
	for _, t := range s.tasks {
		if t.snapshotAt.After(last.snapshotAt) {
			last = t
		}
	}
	for _, t := range s.tasks {
		t.snapshot, t.snapshotAt = last.snapshot, last.snapshotAt
	}
}

func (c *Core) planInOneRack(free []*worker, s *step) []*worker {
	tried := map[string]bool{}
	for _, w := range free {
		if tried[w.rack] {
			continue
		}
		tried[w.rack] = true
		var l []*worker
		for _, o := range free {
			if o.rack == w.rack {
				l = append(l, o)
			}
		}
		if p := c.planGang(l, s); p != nil {
			return p
		}
	}
	return nil
}

// planGang returns a worker for each task of the gang, or nil if they do not all fit. While
// it plans, it charges each chosen worker so that no capacity is used twice.
func (c *Core) planGang(free []*worker, s *step) []*worker {
	var plan []*worker
	defer func() {
		for _, w := range plan {
			w.charge(s.Step, -1)
			if s.perWorker != nil {
				s.perWorker[w.ID]--
			}
		}
	}()
	for _, t := range s.tasks {
		w := c.choose(free, t)
		if w == nil {
			return nil
		}
		if _, ok := c.ticket(s, w); !ok {
			return nil
		}
		plan = append(plan, w)
		w.charge(s.Step, 1)
		if s.perWorker != nil {
			s.perWorker[w.ID]++
		}
	}
	return append([]*worker(nil), plan...)
}

// stopGang stops the other members of a gang's run after one of them has ended.
func (c *Core) stopGang(s *step, number int64) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.number == number {
				c.stop(r, "another member of its gang has ended")
			}
		}
	}
}
