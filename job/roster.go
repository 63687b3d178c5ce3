package job

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"amberway/platform"
)

// Keys of the roster, which is stored in shards, one key each: with every move of a host, of
// which there are some forty a second, one worker comes or goes. Written as one value, a
// roster of 372 workers took 37 kB each time, half of all that an owner sent. A shard of it
// holds some six workers in half a kilobyte.
const (
	// ownerOnlyPrefix is the prefix of all keys that only owners write, other than the
	// progress of jobs.
	ownerOnlyPrefix = "owner/"
	// rosterPrefix is the prefix of the keys of shards of workers, which end in a number.
	rosterPrefix = ownerOnlyPrefix + "workers/"
	// orderedPrefix is the prefix of the keys of shards of recently ordered machines.
	orderedPrefix = ownerOnlyPrefix + "ordered/"
	// heldPrefix is the prefix of the keys of shards of workers with held ends.
	heldPrefix = ownerOnlyPrefix + "held/"
	// legacyRosterKey holds the roster of an owner of an earlier version, as one value.
	legacyRosterKey = ownerOnlyPrefix + "workers"
	// rosterShards, orderedShards and heldShards are the numbers of shards of workers, of machines
	// and of workers with held ends. maxShardsPerWrite limits the shards of workers in one write,
	// to leave room for the progress of jobs.
	rosterShards      = 64
	orderedShards     = 8
	heldShards        = 16
	maxShardsPerWrite = 14
)

// Roster holds the workers on which an owner may have started runs. It is stored so that
// the next owner knows whose answers to wait for.
type Roster struct {
	Workers []RosterEntry `json:"w"`
	// Ordered names the machines that the owner has recently given orders to, or is about
	// to: the next owner gives them no orders for a while.
	Ordered []string `json:"o,omitempty"`
	// Held names the workers with held ends. Some of them may have been taken for ended.
	Held []HeldEnds `json:"-"`
	// Services are the services in which jobs that were accepted for another one may have runs, by
	// queue.
	Services queueServices `json:"-"`
	// legacy reports whether the roster was stored as one value.
	legacy bool
	// unreadableKeys are the keys of shards that could not be decoded.
	unreadableKeys []string
}

// RosterEntry is a worker in a Roster.
type RosterEntry struct {
	ID      platform.WorkerID `json:"i"`
	Service string            `json:"s,omitempty"`
	Address netip.AddrPort    `json:"a,omitzero"`
	Host    string            `json:"h,omitempty"`
	// Former is the service that it was one of before.
	Former string `json:"f,omitempty"`
	// Restarted says that an order to an earlier incarnation may have given it a longer lease than any
	// order to itself.
	Restarted bool `json:"r,omitempty"`
	// Departed says that it has ended, or has no runs and will get none, and that a late poll may extend the lease
	// of the incarnation that comes next. Of such a worker only the id is stored.
	Departed bool `json:"d,omitempty"`
}

func rosterEntryOf(w *worker) RosterEntry {
	return RosterEntry{ID: w.ID, Service: w.Service, Address: w.Address, Host: w.Host, Former: w.formerService, Restarted: w.restarted}
}

// rosterShard returns the number of the shard that holds a worker.
func rosterShard(id platform.WorkerID) int {
	return int(xxhash.Sum64String(string(id)) % rosterShards)
}

// orderedShard returns the number of the shard that holds a machine.
func orderedShard(machine string) int {
	return int(xxhash.Sum64String(machine) % orderedShards)
}

func orderedShardKey(shard int) string {
	return fmt.Sprintf("%s%d", orderedPrefix, shard)
}

func rosterShardKey(shard int) string {
	return fmt.Sprintf("%s%02d", rosterPrefix, shard)
}

// readRoster returns the roster in the entries under ownerOnlyPrefix. A shard that cannot be
// decoded is skipped: it must not keep owners from taking over.
func readRoster(l []platform.Entry) Roster {
	var r Roster
	for _, e := range l {
		var err error
		switch {
		case e.Key == legacyRosterKey:
			var p Roster
			err = json.Unmarshal(e.Value, &p)
			r.Workers = append(r.Workers, p.Workers...)
			r.Ordered = append(r.Ordered, p.Ordered...)
			r.legacy = true
		case e.Key == queueServicesKey:
			r.Services, err = decodeQueueServices(e.Value)
		case strings.HasPrefix(e.Key, orderedPrefix):
			var o []string
			err = json.Unmarshal(e.Value, &o)
			r.Ordered = append(r.Ordered, o...)
		case strings.HasPrefix(e.Key, heldPrefix):
			var h []HeldEnds
			err = json.Unmarshal(e.Value, &h)
			r.Held = append(r.Held, h...)
		case strings.HasPrefix(e.Key, rosterPrefix):
			var p []RosterEntry
			err = json.Unmarshal(e.Value, &p)
			r.Workers = append(r.Workers, p...)
		}
		if err != nil {
			r.unreadableKeys = append(r.unreadableKeys, e.Key)
		}
	}
	return r
}

// rosterChanges records which shards of the roster have yet to be written.
type rosterChanges struct {
	shards  [rosterShards]bool
	ordered [orderedShards]bool
	held    [heldShards]bool
	// services says that the services of queues have yet to be written.
	services bool
}

// any reports whether any shard has yet to be written.
func (r rosterChanges) any() bool {
	return r != rosterChanges{}
}

// split returns the changes for the next write, and those for later ones.
func (r rosterChanges) split() (now, later rosterChanges) {
	now.ordered, now.services = r.ordered, r.services
	n := 0
	splitShards(&n, r.held[:], now.held[:], later.held[:])
	splitShards(&n, r.shards[:], now.shards[:], later.shards[:])
	return now, later
}

// splitShards marks up to maxShardsPerWrite changed shards in now and the others in later. n counts
// those in now.
func splitShards(n *int, changed, now, later []bool) {
	for shard, c := range changed {
		switch {
		case !c:
		case *n < maxShardsPerWrite:
			now[shard] = true
			*n++
		default:
			later[shard] = true
		}
	}
}

// inheritRoster adds the workers on which an earlier owner may have runs. The stored roster
// counts for this owner as well: workers whose entries are up to date may get starts at once.
func (c *Core) inheritRoster(r Roster) {
	if len(r.unreadableKeys) > 0 {
		c.rosterUnknownUntil = c.now.Add(inheritedLease)
		c.departuresUnknownUntil = c.earlierLeasesUntil
		for w := range c.workersByAge.All() {
			c.markUnknownDeparture(w)
		}
		c.emit(LogLine{What: "roster not read", Why: "jobs of earlier owners wait until all leases must have expired", Fields: []any{"keys", strings.Join(r.unreadableKeys, " ")}})
		c.markServicesDirty()
	}
	named := map[platform.WorkerID]bool{}
	for _, e := range r.Workers {
		if e.Departed {
			c.inheritDeparted(e.ID)
			continue
		}
		e.ID = c.resolveID(e.ID)
		w := c.workers[e.ID]
		if w == nil {
			w = newWorker(platform.Worker{ID: e.ID, Service: e.Service, Address: e.Address, Host: e.Host}, c.now)
			c.addWorker(w)
		}
		w.inherited = true
		if e.Restarted {
			c.markRestarted(w, 0)
		}
		w.formerService = e.Former
		if e.Service != w.Service {
			w.formerService = e.Service
		}
		w.inRoster = !r.legacy && e == rosterEntryOf(w)
		named[e.ID] = true
	}
	for id, w := range c.workers {
		if named[id] && !w.inRoster {
			c.markRosterDirty(w)
		}
	}
	c.inheritHeld(r.Held)
	if r.legacy {
		c.queueWrite(nil, []string{legacyRosterKey})
	}
}

// mayHaveRuns reports whether any owner may have given starts to the worker or to an earlier incarnation
// of it. Nobody has as long as it has never answered: its record may be by another writer to the store.
func (w *worker) mayHaveRuns() bool {
	return w.contacted || w.inherited || w.answeredBefore
}

// belongsInRoster reports whether the roster is to name the worker: it may have runs, or may soon get its
// first one, as its record names a machine that there is.
func (c *Core) belongsInRoster(w *worker) bool {
	return !w.offRoster && (w.mayHaveRuns() || c.machinesByName[w.Host] != nil && !c.dormant(w))
}

// markRosterDirty has the worker's shard of the roster written, without the worker if it is gone or does
// not belong there. A worker gets its first start only after that.
func (c *Core) markRosterDirty(w *worker) {
	c.roster.shards[rosterShard(w.ID)] = true
	c.writeSoon()
}

// markOrderedDirty has the shard of a machine that is to get an order written.
func (c *Core) markOrderedDirty(m *machine) {
	c.roster.ordered[orderedShard(m.Name)] = true
	c.writeSoon()
}

// noteInRoster notes that the stored roster has the worker, unless it is off the roster. A worker that was
// found to have restarted since is written again.
func (c *Core) noteInRoster(w *worker, e RosterEntry) {
	if w.restarted && !e.Restarted {
		c.markRosterDirty(w)
		return
	}
	if !w.inRoster {
		c.raiseFence(w)
	}
	w.inRoster = !w.offRoster
}

// writeSoon makes the next write due at once.
func (c *Core) writeSoon() {
	if c.writeDueAt.IsZero() {
		c.writeDueAt = c.now
	}
	c.writeUrgent = true
}

// addRoster adds changed shards of the roster to the write.
func (c *Core) addRoster(k *storeWrite) {
	k.changes, c.roster = c.roster.split()
	c.addOrdered(k)
	c.addServices(k)
	c.addHeld(k)
	c.addRosterShards(k)
}

// addOrdered adds the changed shards of ordered machines to the write.
func (c *Core) addOrdered(k *storeWrite) {
	if k.changes.ordered == [orderedShards]bool{} {
		return
	}
	var names [orderedShards][]string
	for _, n := range c.recentlyOrdered() {
		shard := orderedShard(n)
		names[shard] = append(names[shard], n)
	}
	for shard, changed := range k.changes.ordered {
		if changed {
			k.machines = append(k.machines, names[shard]...)
			c.addJSON(k, orderedShardKey(shard), names[shard])
		}
	}
}

// addRosterShards adds the changed shards of workers to the write.
func (c *Core) addRosterShards(k *storeWrite) {
	if k.changes.shards == [rosterShards]bool{} {
		return
	}
	var entries [rosterShards][]RosterEntry
	for id, w := range c.workers {
		if shard := rosterShard(id); k.changes.shards[shard] && c.belongsInRoster(w) {
			e := rosterEntryOf(w)
			entries[shard] = append(entries[shard], e)
			k.workers = append(k.workers, namedWorker{worker: w, entry: e})
		}
	}
	c.departedEntries(k.changes.shards, &entries)
	for shard, changed := range k.changes.shards {
		if changed {
			slices.SortFunc(entries[shard], func(a, b RosterEntry) int { return strings.Compare(string(a.ID), string(b.ID)) })
			c.addJSON(k, rosterShardKey(shard), entries[shard])
		}
	}
}

// names reports whether the write has the worker in a shard of the roster. There may be no write.
func (k *storeWrite) names(w *worker) bool {
	return k != nil && slices.ContainsFunc(k.workers, func(n namedWorker) bool { return n.worker == w })
}

// addJSON adds a value to the write.
func (c *Core) addJSON(k *storeWrite, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		c.emit(LogLine{What: "roster not encoded", Why: err.Error()})
		return
	}
	k.puts = append(k.puts, platform.Put{Key: key, Value: b})
}

// requeueRoster has the roster's shards in a failed write written again.
func (c *Core) requeueRoster(k *storeWrite) {
	for shard, failed := range k.changes.shards {
		c.roster.shards[shard] = c.roster.shards[shard] || failed
	}
	for shard, failed := range k.changes.ordered {
		c.roster.ordered[shard] = c.roster.ordered[shard] || failed
	}
	for shard, failed := range k.changes.held {
		c.roster.held[shard] = c.roster.held[shard] || failed
	}
	c.roster.services = c.roster.services || k.changes.services
}

// isRosterKey reports whether the key is that of a shard, which is always written from the
// present roster.
func isRosterKey(key string) bool {
	return key == queueServicesKey || strings.HasPrefix(key, orderedPrefix) || strings.HasPrefix(key, heldPrefix) || strings.HasPrefix(key, rosterPrefix)
}
