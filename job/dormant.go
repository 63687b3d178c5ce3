package job

// A worker in a spare pool that no queue names is dormant: no owner sends it starts, and
// its machine starts a new incarnation when it is moved to another pool. It is not polled
// and not kept in the roster. Polling 3,000 machines that had moved to the spare pool, each
// on a new connection, took a sixth of an owner's processor time.

// dormant reports whether nothing can run on the worker.
func (c *Core) dormant(w *worker) bool {
	return c.dormantPools[w.Service] && !w.contacted && !w.inherited && !w.inRoster
}

// updateDormant applies the configuration to dormantPools, and starts to poll the workers
// of pools that are no longer dormant.
func (c *Core) updateDormant() {
	before := c.dormantPools
	c.dormantPools = map[string]bool{}
	for _, s := range c.config.Services {
		c.dormantPools[s.Name] = s.Spare
	}
	for _, q := range c.config.Queues {
		c.dormantPools[q.Service] = false
	}
	for w := range c.workersByAge.All() {
		if before[w.Service] && !c.dormantPools[w.Service] && !w.inRoster {
			c.markRosterDirty(w)
			c.reconcileWorker(w)
		}
	}
}
