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

// Keys of the roster. Each of its parts has a key: one worker comes or goes with each
// move of a host, of which there are some forty a second, and written whole the roster
// of 372 workers took 37 kB each time, half of all that an owner sent: 22.0 of 42.2 MB
// on a quiet day of 17,672 starts, with the jobs' progress 2.0. A part is some six
// workers there, and half a kilobyte.
const (
	// ownerOnlyPrefix begins all keys that only owners write, beside the jobs' progress.
	ownerOnlyPrefix = "owner/"
	// rosterPrefix begins the keys of the parts, which end in their number.
	rosterPrefix = ownerOnlyPrefix + "workers/"
	// orderedPrefix begins those of the machines that got orders of late, in parts.
	orderedPrefix = ownerOnlyPrefix + "ordered/"
	// legacyRosterKey holds the roster of an owner of an earlier version, as one value.
	legacyRosterKey = ownerOnlyPrefix + "workers"
	// rosterShards and orderedParts are how many parts there are, mostParts how many of
	// the workers' go into one write, so that the jobs' progress has room there.
	rosterShards      = 64
	orderedShards     = 8
	maxShardsPerWrite = 14
)

// Roster is the workers on which an owner may have started runs. It is kept so
// that the next owner knows whose answers to wait for.
type Roster struct {
	Workers []RosterEntry `json:"w"`
	// Ordered are the machines that the owner has given orders to of late, or
	// is about to: the next owner leaves them alone for a while.
	Ordered []string `json:"o,omitempty"`
	// legacy says that it was kept as one value.
	legacy bool
	// unreadableKeys are the keys of parts that could not be read.
	unreadableKeys []string
}

// RosterEntry is one worker of a Roster.
type RosterEntry struct {
	ID      platform.WorkerID `json:"i"`
	Service string            `json:"s"`
	Address netip.AddrPort    `json:"a"`
	Host    string            `json:"h,omitempty"`
}

func rosterEntryOf(w *worker) RosterEntry {
	return RosterEntry{ID: w.ID, Service: w.Service, Address: w.Address, Host: w.Host}
}

// rosterShard returns the number of the part that names a worker.
func rosterShard(id platform.WorkerID) int {
	return int(xxhash.Sum64String(string(id)) % rosterShards)
}

// orderedShard returns the number of the part that names a machine.
func orderedShard(machine string) int {
	return int(xxhash.Sum64String(machine) % orderedShards)
}

func orderedShardKey(part int) string {
	return fmt.Sprintf("%s%d", orderedPrefix, part)
}

func rosterShardKey(part int) string {
	return fmt.Sprintf("%s%02d", rosterPrefix, part)
}

// readRoster returns the roster in the owners' keys. A part that cannot be read must not
// keep every next owner from taking over.
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
		case strings.HasPrefix(e.Key, orderedPrefix):
			var o []string
			err = json.Unmarshal(e.Value, &o)
			r.Ordered = append(r.Ordered, o...)
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

// rosterChanges are what of the roster has yet to be written.
type rosterChanges struct {
	shards  [rosterShards]bool
	ordered [orderedShards]bool
}

// any reports whether anything is to be written.
func (r rosterChanges) any() bool {
	return r != rosterChanges{}
}

// split returns the changes that go into one write, and what is left.
func (r rosterChanges) split() (now, later rosterChanges) {
	now.ordered = r.ordered
	n := 0
	for p, changed := range r.shards {
		switch {
		case !changed:
		case n < maxShardsPerWrite:
			now.shards[p] = true
			n++
		default:
			later.shards[p] = true
		}
	}
	return now, later
}

// inheritRoster adds the workers that an earlier owner may have runs on. What the store holds
// of them holds for this owner as well: those named as they are may get starts at once.
func (c *Core) inheritRoster(r Roster) {
	if len(r.unreadableKeys) > 0 {
		c.rosterUnknownUntil = c.now.Add(inheritedLease)
		c.emit(LogLine{What: "roster not read", Why: "jobs of earlier owners wait until all leases must have lapsed", Fields: []any{"keys", strings.Join(r.unreadableKeys, " ")}})
	}
	named := map[platform.WorkerID]bool{}
	for _, e := range r.Workers {
		e.ID = c.resolveID(e.ID)
		w := c.workers[e.ID]
		if w == nil {
			w = newWorker(platform.Worker{ID: e.ID, Service: e.Service, Address: e.Address, Host: e.Host}, c.now)
			c.addWorker(w)
		}
		w.inherited = true
		w.inRoster = !r.legacy && e == rosterEntryOf(w)
		named[e.ID] = true
	}
	for id, w := range c.workers {
		if (!named[id] || !w.inRoster) && !c.dormant(w) {
			c.markRosterDirty(w)
		}
	}
	if r.legacy {
		c.queueWrite(nil, []string{legacyRosterKey})
	}
}

// markRosterDirty has the part of the roster written that names the worker, or no longer
// does. A worker gets its first start after that.
func (c *Core) markRosterDirty(w *worker) {
	c.roster.shards[rosterShard(w.ID)] = true
	c.writeSoon()
}

// markOrderedDirty has the part written that names a machine which is to get an order.
func (c *Core) markOrderedDirty(m *machine) {
	c.roster.ordered[orderedShard(m.Name)] = true
	c.writeSoon()
}

// writeSoon has what has changed written without waiting for more.
func (c *Core) writeSoon() {
	if c.writeDueAt.IsZero() {
		c.writeDueAt = c.now
	}
	c.writeUrgent = true
}

// addRoster puts what has changed of the roster into the write.
func (c *Core) addRoster(k *storeWrite) {
	k.changes, c.roster = c.roster.split()
	c.addOrdered(k)
	c.addRosterShards(k)
}

// addOrdered puts the changed parts of the ordered machines into the write.
func (c *Core) addOrdered(k *storeWrite) {
	if k.changes.ordered == [orderedShards]bool{} {
		return
	}
	var names [orderedShards][]string
	for _, n := range c.recentlyOrdered() {
		p := orderedShard(n)
		names[p] = append(names[p], n)
	}
	for p, changed := range k.changes.ordered {
		if changed {
			k.machines = append(k.machines, names[p]...)
			c.addJSON(k, orderedShardKey(p), names[p])
		}
	}
}

// addRosterShards puts the changed parts of the workers into the write.
func (c *Core) addRosterShards(k *storeWrite) {
	if k.changes.shards == [rosterShards]bool{} {
		return
	}
	var entries [rosterShards][]RosterEntry
	for id, w := range c.workers {
		if p := rosterShard(id); k.changes.shards[p] && !w.offRoster {
			entries[p] = append(entries[p], rosterEntryOf(w))
			k.workers = append(k.workers, w)
		}
	}
	for p, changed := range k.changes.shards {
		if changed {
			slices.SortFunc(entries[p], func(a, b RosterEntry) int { return strings.Compare(string(a.ID), string(b.ID)) })
			c.addJSON(k, rosterShardKey(p), entries[p])
		}
	}
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

// requeueRoster has what a failed write held of the roster written once more.
func (c *Core) requeueRoster(k *storeWrite) {
	for p, failed := range k.changes.shards {
		c.roster.shards[p] = c.roster.shards[p] || failed
	}
	for p, failed := range k.changes.ordered {
		c.roster.ordered[p] = c.roster.ordered[p] || failed
	}
}

// isRosterKey reports whether the key is written anew from the roster as it is.
func isRosterKey(key string) bool {
	return strings.HasPrefix(key, orderedPrefix) || strings.HasPrefix(key, rosterPrefix)
}
