package job

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// A queue may be sent to other services while its jobs run, any number of times. The next owner
// finds the present service in the configuration, and the one of the acceptance in the record of
// each job. So that it also waits for workers of those in between, the store names each other
// service before the first task of such a job starts there.

// queueServicesKey holds, by queue, the services in which jobs that were accepted for another
// service may have runs.
const queueServicesKey = ownerOnlyPrefix + "services"

// pruneServicesEvery is the interval at which services without such runs are removed.
const pruneServicesEvery = time.Second

// queueServices holds services by queue.
type queueServices map[string][]string

func (s queueServices) has(queue, service string) bool {
	return slices.Contains(s[queue], service)
}

func (s queueServices) add(queue, service string) {
	if !s.has(queue, service) {
		s[queue] = append(s[queue], service)
		slices.Sort(s[queue])
	}
}

func (s queueServices) clone() queueServices {
	c := make(queueServices, len(s))
	for q, l := range s {
		c[q] = slices.Clone(l)
	}
	return c
}

// serviceHistory is what the owner knows of services to which queues were sent.
type serviceHistory struct {
	// used are the services in which jobs that were accepted for another one may have runs, and
	// storedServices those of them that the store names.
	used, storedServices queueServices
	nextPruneAt          time.Time
}

func newServiceHistory() serviceHistory {
	return serviceHistory{used: queueServices{}, storedServices: queueServices{}}
}

// decodeQueueServices decodes the value of queueServicesKey.
func decodeQueueServices(value []byte) (queueServices, error) {
	s := queueServices{}
	err := json.Unmarshal(value, &s)
	return s, err
}

// inheritServices takes over the services that the store names.
func (c *Core) inheritServices(s queueServices) {
	if s != nil {
		c.used, c.storedServices = s.clone(), s.clone()
	}
}

// otherServices returns the services in which the job may have runs besides the queue's present one and
// the one of its acceptance.
func (c *Core) otherServices(j *job) []string {
	if j.leftover != nil {
		return j.leftover.OtherServices
	}
	return c.used[j.Queue]
}

// mayStartInService reports whether the next owner will know that the job may have runs in its
// queue's present service. If not, it has the service written.
func (c *Core) mayStartInService(j *job) bool {
	queue, service := j.Queue, j.queue.Service
	if service == j.Service || c.storedServices.has(queue, service) {
		return true
	}
	if !c.used.has(queue, service) {
		c.used.add(queue, service)
		c.emit(LogLine{What: "queue sent to another service", Why: "its jobs wait until the store names the service", Fields: []any{"queue", queue, "service", service, "accepted_for", j.Service}})
		c.markServicesDirty()
	}
	return false
}

func (c *Core) markServicesDirty() {
	c.roster.services = true
	c.writeSoon()
}

// addServices adds the services of queues to the write.
func (c *Core) addServices(k *storeWrite) {
	if k.changes.services {
		k.services = c.used.clone()
		c.addJSON(k, queueServicesKey, k.services)
	}
}

// noteServicesStored notes that the store names the services.
func (c *Core) noteServicesStored(s queueServices) {
	for q, l := range sorted(s) {
		for _, v := range l {
			if c.used.has(q, v) && !c.storedServices.has(q, v) {
				c.storedServices.add(q, v)
				c.reorder(v)
			}
		}
	}
}

// pruneServices removes services in which no job that was accepted for another service may have
// runs any more.
func (c *Core) pruneServices() {
	if len(c.used) == 0 || c.now.Before(c.nextPruneAt) {
		return
	}
	c.nextPruneAt = c.now.Add(pruneServicesEvery)
	needed := c.neededServices()
	for q, l := range sorted(maps.Clone(c.used)) {
		kept := slices.DeleteFunc(slices.Clone(l), func(s string) bool { return !needed.has(q, s) })
		if len(kept) == len(l) {
			continue
		}
		c.used[q] = kept
		c.storedServices[q] = slices.DeleteFunc(c.storedServices[q], func(s string) bool { return !needed.has(q, s) })
		if len(kept) == 0 {
			delete(c.used, q)
			delete(c.storedServices, q)
		}
		c.markServicesDirty()
	}
}

// neededServices returns the services that have to stay named, by queue. In a service to which
// the queue is not sent any more, those are the ones with runs or ends that are not known or not
// stored yet.
func (c *Core) neededServices() queueServices {
	unsettled := c.unsettledServices()
	needed := queueServices{}
	for _, j := range c.active {
		for _, s := range c.used[j.Queue] {
			if s != j.Service && (s == j.queue.Service || unsettled[s]) {
				needed.add(j.Queue, s)
			}
		}
	}
	return needed
}

// unsettledServices returns the services with workers that run anything, or of which not all runs
// and ends are known and stored.
func (c *Core) unsettledServices() map[string]bool {
	l := map[string]bool{}
	for w := range c.workersByAge.All() {
		if w.busy() || w.moreEnds || w.hasUnstoredEnds() || w.inherited && !w.contacted {
			l[w.Service], l[w.formerService] = true, true
		}
	}
	return l
}

// formerServices returns the services but the queue's present one in which the job may have runs.
func (c *Core) formerServices(j *job) []string {
	l := append([]string{j.Service}, c.otherServices(j)...)
	return slices.DeleteFunc(l, func(s string) bool { return s == j.queue.Service })
}
