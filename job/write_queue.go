package job

import (
	"slices"
	"time"

	"amberway/platform"
)

// Settings of writing to the store.
const (
	// writeDelay is the delay of a write, so that it holds the progress of several jobs.
	writeDelay = 60 * time.Millisecond
	// finalWriteDelay is the delay of final states, which is shorter because callers wait
	// for them.
	finalWriteDelay = 15 * time.Millisecond
	// writeRetry is the pause after a write that failed.
	writeRetry = 200 * time.Millisecond
	// entriesPerJob is the most entries of one job in a write: its progress and, once it
	// is final, the deletions of its record and its cancel mark.
	entriesPerJob = 3
	// entriesPerWrite is how many entries storeWriter adds to a write: two guards and the
	// id of the write.
	entriesPerWrite = 3
)

// writeQueue holds what the owner has yet to write to the store.
type writeQueue struct {
	dirtyJobs   []*job
	writeUrgent bool
	writeDueAt  time.Time
	wakeAt      time.Time
	writeNumber int64
	inFlight    *storeWrite
	// extraPuts and extraDeletes hold writes other than those of jobs and of the roster.
	extraPuts     []platform.Put
	extraDeletes  []string
	writesFailing bool
	// latestFence is the revision of the last write. It exceeds the fence of each poll that has
	// acknowledged ends so far, and is below the fence of the next owner.
	latestFence platform.Fence
}

// storeWrite is one write, kept until the store has answered it.
type storeWrite struct {
	states []writtenState
	// lastEnds holds the last end of each worker that the write covers.
	lastEnds []writtenEnd
	puts     []platform.Put
	deletes  []string
	// changes records which shards of the roster are in the write; workers and machines are
	// the workers and ordered machines that these shards name.
	changes  rosterChanges
	workers  []namedWorker
	machines []string
	// services are the services of queues in the write.
	services queueServices
}

// namedWorker is a worker and its entry in the roster as a write holds it.
type namedWorker struct {
	worker *worker
	entry  RosterEntry
}

// writtenState is the state of a job as a write holds it.
type writtenState struct {
	job          *job
	state        platform.JobState
	crashVersion int
}

// writtenEnd is the number of the last end of a worker that a write covers.
type writtenEnd struct {
	worker *worker
	number int64
}

func newWriteQueue(f platform.Fence) writeQueue {
	return writeQueue{latestFence: f}
}

// markDirty has the progress of a job written.
func (c *Core) markDirty(j *job) {
	if c.writeDueAt.IsZero() {
		c.writeDueAt = c.now.Add(writeDelay)
	}
	if j.state.Final() {
		c.writeDueAt = earliest(c.writeDueAt, c.now.Add(finalWriteDelay))
	}
	if !j.dirty {
		j.dirty = true
		c.dirtyJobs = append(c.dirtyJobs, j)
	}
}

// deleteCancelMark deletes the cancel mark of a job that is final already.
func (c *Core) deleteCancelMark(id ID) {
	c.queueWrite(nil, []string{cancelKey(id)})
}

// queueWrite has entries written that belong neither to a job nor to the roster.
func (c *Core) queueWrite(p []platform.Put, deletes []string) {
	// The newest value of a key replaces one that has not been written yet.
	for _, v := range p {
		c.extraPuts = slices.DeleteFunc(c.extraPuts, func(o platform.Put) bool { return o.Key == v.Key })
		c.extraPuts = append(c.extraPuts, v)
	}
	c.extraDeletes = append(c.extraDeletes, deletes...)
	c.writeUrgent = true
	if c.writeDueAt.IsZero() {
		c.writeDueAt = c.now
	}
}

// startWrite starts the next write if it is due and none is in flight.
func (c *Core) startWrite() {
	if c.inFlight != nil || c.writeDueAt.IsZero() {
		return
	}
	if c.now.Before(c.writeDueAt) && (!c.writeUrgent || c.writesFailing) {
		c.scheduleWake(c.writeDueAt)
		return
	}
	k := &storeWrite{}
	c.addRoster(k)
	for len(c.dirtyJobs) > 0 && k.room() >= entriesPerJob {
		c.dirtyJobs[0].dirty = false
		c.addProgress(k, c.dirtyJobs[0])
		c.dirtyJobs = c.dirtyJobs[1:]
	}
	c.addExtra(k)
	if len(c.dirtyJobs) == 0 && !c.roster.any() {
		c.writeUrgent = false
		c.writeDueAt = time.Time{}
	}
	if len(c.dirtyJobs) == 0 {
		// A write that leaves out dirty jobs does not cover all ends that were seen.
		for w := range c.workersByAge.From(c.firstToPoll) {
			if w.lastEndSeen > w.lastEndStored {
				k.lastEnds = append(k.lastEnds, writtenEnd{worker: w, number: w.lastEndSeen})
			}
		}
	}
	c.writeNumber++
	c.inFlight = k
	c.flow.spend(k.bytes())
	c.emit(WriteStore{Number: c.writeNumber, Puts: k.puts, Deletes: k.deletes})
}

// scheduleWake requests a Woken event at a time before the next tick.
func (c *Core) scheduleWake(at time.Time) {
	if !c.wakeAt.IsZero() && !at.Before(c.wakeAt) && c.now.Before(c.wakeAt) {
		return
	}
	c.wakeAt = at
	c.emit(WakeAt{At: at})
}

func (c *Core) addProgress(k *storeWrite, j *job) {
	b, err := encodeProgress(c.progress(j))
	if err != nil {
		c.emit(LogLine{What: "progress not encoded", Job: j.id, Why: err.Error()})
		return
	}
	k.states = append(k.states, writtenState{job: j, state: j.state, crashVersion: j.crashVersion})
	k.puts = append(k.puts, platform.Put{Key: progressKey(j.id), Value: b})
	if j.state.Final() {
		k.deletes = append(k.deletes, recordKey(j.id), cancelKey(j.id))
	}
}

// room returns how many more entries fit into the write.
func (k *storeWrite) room() int {
	return platform.MaxTxn - entriesPerWrite - len(k.puts) - len(k.deletes)
}

// bytes returns the size of the request, in which values are encoded as base64.
func (k *storeWrite) bytes() int {
	n := writeBytes
	for _, p := range k.puts {
		n += len(p.Key) + len(p.Value)*4/3
	}
	return n
}

func (c *Core) addExtra(k *storeWrite) {
	n := min(k.room(), len(c.extraPuts))
	k.puts = append(k.puts, c.extraPuts[:n]...)
	c.extraPuts = c.extraPuts[n:]
	d := min(k.room(), len(c.extraDeletes))
	k.deletes = append(k.deletes, c.extraDeletes[:d]...)
	c.extraDeletes = c.extraDeletes[d:]
}

// apply marks what was written as stored, or queues a failed write again.
func (e WriteResult) apply(c *Core) {
	k := c.inFlight
	if k == nil || e.Number != c.writeNumber {
		return
	}
	c.inFlight = nil
	if e.Err != nil {
		c.requeueWrite(k, e.Err)
		return
	}
	c.writesFailing = false
	c.latestFence = max(c.latestFence, platform.Fence(e.Revision))
	for _, n := range k.workers {
		c.noteInRoster(n.worker, n.entry)
		c.replan(n.worker.Service)
	}
	c.noteServicesStored(k.services)
	c.sendRecorded(k.machines, e.Revision)
	for _, s := range k.states {
		j := s.job
		j.storedState = s.state
		if j.storedCrashVersion != s.crashVersion {
			j.storedCrashVersion = s.crashVersion
			c.replan(j.queue.Service)
		}
	}
	for _, e := range k.lastEnds {
		e.worker.markStored(e.number)
		c.reconcileWorker(e.worker)
	}
	if len(c.extraPuts)+len(c.extraDeletes)+len(c.dirtyJobs) > 0 && c.writeDueAt.IsZero() {
		c.writeDueAt = c.now
	}
}

// apply notes that the store does not accept writes for now.
func (WriteSlow) apply(c *Core) {
	c.writesFailing = true
}

// requeueWrite queues everything in a failed write again. Jobs and the roster are encoded
// anew when the next write starts.
func (c *Core) requeueWrite(k *storeWrite, err error) {
	c.emit(LogLine{What: "write failed", Why: err.Error(), Fields: []any{"jobs", len(k.states)}})
	c.writesFailing = true
	jobKeys := map[string]bool{}
	for _, s := range k.states {
		j := s.job
		jobKeys[progressKey(j.id)], jobKeys[recordKey(j.id)], jobKeys[cancelKey(j.id)] = true, true, true
		c.markDirty(j)
	}
	c.requeueRoster(k)
	for _, p := range k.puts {
		newer := slices.ContainsFunc(c.extraPuts, func(o platform.Put) bool { return o.Key == p.Key })
		if !jobKeys[p.Key] && !isRosterKey(p.Key) && !newer {
			c.extraPuts = append(c.extraPuts, p)
		}
	}
	for _, d := range k.deletes {
		if !jobKeys[d] {
			c.extraDeletes = append(c.extraDeletes, d)
		}
	}
	c.writeDueAt = c.now.Add(writeRetry)
	for w := range c.workersByAge.From(c.firstToPoll) {
		c.reconcileWorker(w)
	}
}
