package job

// placeGang starts all tasks of a gang if there is room for all of them.
func (c *Core) placeGang(free []*worker, s *step) {
	if s.idle < s.remaining || s.remaining < len(s.tasks) {
		return
	}
	for _, t := range s.tasks {
		if !t.mayStart(c.now) {
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
	n := c.nextRun()
	for i, t := range s.tasks {
		ticket, _ := c.ticket(s, plan[i])
		c.start(t, plan[i], n, ticket)
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

// planGang returns a worker for each task of the gang, or nil. It charges the
// workers while it plans, so that their room is counted once.
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

// stopGang stops what is left of a run of a gang of which a member has ended.
func (c *Core) stopGang(s *step, number int64) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.number == number {
				c.stop(r, "another member of its gang has ended")
			}
		}
	}
}
