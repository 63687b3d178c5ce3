package job

// A worker in a spare pool that no queue names has nothing to do: it gets no starts, from
// this owner or any other, and its machine gets another life when it is fetched. It is not
// looked at, and no next owner has to look for it. While 3,000 machines went to the spare
// pool, first looks on new connections took a sixth of an owner's processor time.

// dormant reports whether nothing can run on the worker.
func (c *Core) dormant(w *worker) bool {
	return c.dormantPools[w.Service] && !w.contacted && !w.inherited && !w.inRoster
}

// updateDormant finds the pools whose workers have nothing to do in the configuration, and
// takes up those whose pool is in service now.
func (c *Core) updateDormant() {
	before := c.dormantPools
	c.dormantPools = map[string]bool{}
	for _, s := range c.config.Services {
		c.dormantPools[s.Name] = s.Spare
	}
	for _, q := range c.config.Queues {
		c.dormantPools[q.Service] = false
	}
	for _, w := range c.workers {
		if before[w.Service] && !c.dormantPools[w.Service] && !w.inRoster {
			c.markRosterDirty(w)
			c.reconcileWorker(w)
		}
	}
}
