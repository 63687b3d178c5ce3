package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"amberway/platform"
)

// Stats counts the calls to a Platform.
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Platform is a stand-in for the platform's key-value service and its host list.
type Platform struct {
	Store  *Store
	Faults *Faults
	// Lag is how old the served host list is.
	Lag time.Duration
	// RebootTime is how long a host is down during a reboot.
	RebootTime time.Duration

	reads      atomic.Int64
	writes     atomic.Int64
	watches    atomic.Int64
	mu         sync.Mutex
	hosts      map[string]platform.Host
	orderTerms map[string]int64
	snapshots  []platform.HostList
	reboots    []platform.RebootOrder
}

// NewPlatform returns a platform with the hosts.
func NewPlatform(hosts []platform.Host) *Platform {
	p := &Platform{
		Store:      NewStore(),
		Faults:     NewFaults(),
		RebootTime: time.Second,
		hosts:      map[string]platform.Host{},
		orderTerms: map[string]int64{},
	}
	for _, h := range hosts {
		p.hosts[h.Name] = h
	}
	return p
}

// Handler returns the handler of the named listener: the platform's API with the
// listener's faults, and endpoints under /standin/ that control the stand-in.
func (p *Platform) Handler(name string) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", p.kvRange)
	m.HandleFunc("POST /v3/kv/txn", p.kvTxn)
	m.HandleFunc("POST /v3/kv/deleterange", p.kvDelete)
	m.HandleFunc("POST /v3/watch", p.watch(name))
	m.HandleFunc("GET /hosts", p.serveHostList)
	m.HandleFunc("POST /reboot", p.reboot)
	o := http.NewServeMux()
	o.Handle("POST /standin/faults", p.Faults)
	o.HandleFunc("POST /standin/hosts", p.setHosts)
	o.HandleFunc("GET /standin/stats", p.stats)
	o.HandleFunc("GET /standin/reboots", p.listReboots)
	o.Handle("/", p.Faults.Wrap(name, m))
	return o
}

func (p *Platform) kvRange(w http.ResponseWriter, r *http.Request) {
	var q platform.WireRange
	if !decode(w, r, &q) {
		return
	}
	p.reads.Add(1)
	l, rev := p.Store.Range(string(q.Key), string(q.RangeEnd))
	l = slices.DeleteFunc(l, func(k platform.WireKV) bool { return k.ModRevision < q.MinModRevision })
	writeJSON(w, platform.WireRangeReply{Header: platform.WireHeader{Revision: rev}, KVs: l})
}

func (p *Platform) kvTxn(w http.ResponseWriter, r *http.Request) {
	var q platform.WireTxn
	if !decode(w, r, &q) {
		return
	}
	p.writes.Add(1)
	ok, rev := p.Store.Txn(q)
	writeJSON(w, platform.WireTxnReply{Header: platform.WireHeader{Revision: rev}, Succeeded: ok})
}

func (p *Platform) kvDelete(w http.ResponseWriter, r *http.Request) {
	var q platform.WireDelete
	if !decode(w, r, &q) {
		return
	}
	p.writes.Add(1)
	l, _ := p.Store.Range(string(q.Key), string(q.RangeEnd))
	for _, k := range l {
		p.Store.Txn(platform.WireTxn{Success: []platform.WireOp{{Delete: &platform.WireDelete{Key: k.Key}}}})
	}
	writeJSON(w, struct{}{})
}

// downCheckInterval is how often an open watch checks whether its listener is down.
const downCheckInterval = 100 * time.Millisecond

func (p *Platform) watch(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q platform.WireWatch
		if !decode(w, r, &q) {
			return
		}
		p.watches.Add(1)
		writeJSON(w, platform.WireWatchReply{Result: platform.WireWatchResult{Created: true}})
		_ = http.NewResponseController(w).Flush()
		p.stream(w, r, q.Create, name)
	}
}

func (p *Platform) stream(w http.ResponseWriter, r *http.Request, c platform.WireWatchCreate, name string) {
	next := c.StartRevision
	t := time.NewTicker(downCheckInterval)
	defer t.Stop()
	for {
		l, n, changed := p.Store.Since(next, string(c.Key), string(c.RangeEnd))
		next = n
		if len(l) > 0 {
			writeJSON(w, platform.WireWatchReply{Result: platform.WireWatchResult{Events: l}})
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-t.C:
		}
		if p.Faults.Get(name).Down {
			panic(http.ErrAbortHandler)
		}
	}
}

// serveHostList answers with the newest list that is at least Lag old.
func (p *Platform) serveHostList(w http.ResponseWriter, r *http.Request) {
	p.reads.Add(1)
	dc := r.URL.Query().Get("data_centre")
	l := p.laggedList()
	out := platform.HostList{AsOf: l.AsOf}
	for _, h := range l.Hosts {
		if dc == "" || h.DataCentre == dc {
			out.Hosts = append(out.Hosts, h)
		}
	}
	slices.SortFunc(out.Hosts, func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
	p.answerList(w, r, out)
}

// answerList answers a conditional request with status 304 and the time of the list
// if the hosts have not changed.
func (p *Platform) answerList(w http.ResponseWriter, r *http.Request, l platform.HostList) {
	b, err := json.Marshal(l.Hosts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", fmt.Sprintf("%016x", xxhash.Sum64(b)))
	w.Header().Set("ETag", tag)
	w.Header().Set(platform.HeaderAsOf, l.AsOf.Format(time.RFC3339Nano))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, l)
}

func (p *Platform) laggedList() platform.HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.snapshots = append(p.snapshots, p.snapshot(now))
	for len(p.snapshots) > 1 && !p.snapshots[1].AsOf.After(now.Add(-p.Lag)) {
		p.snapshots = p.snapshots[1:]
	}
	return p.snapshots[0]
}

func (p *Platform) snapshot(now time.Time) platform.HostList {
	l := platform.HostList{AsOf: now}
	for _, h := range p.hosts {
		l.Hosts = append(l.Hosts, h)
	}
	return l
}

// reboot accepts an order unless its deadline has passed or its term is lower than
// that of an earlier one. A repeated order does not reboot the host again.
func (p *Platform) reboot(w http.ResponseWriter, r *http.Request) {
	var o platform.RebootOrder
	if !decode(w, r, &o) {
		return
	}
	p.writes.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[o.Host]
	if !ok {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	if time.Now().After(o.Deadline) || o.Term < p.orderTerms[o.Host] {
		http.Error(w, "late or of a lower term", http.StatusConflict)
		return
	}
	if o.Term == p.orderTerms[o.Host] {
		return
	}
	p.orderTerms[o.Host] = o.Term
	p.reboots = append(p.reboots, o)
	h.Live = false
	p.hosts[o.Host] = h
	time.AfterFunc(p.RebootTime, func() { p.boot(o.Host) })
	go setTargetFault(h, Fault{Down: true})
}

func (p *Platform) boot(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[name]
	h.Live = true
	h.Boot++
	p.hosts[name] = h
	go setTargetFault(h, Fault{})
}

// setTargetFault sets the fault of the target on the host.
func setTargetFault(h platform.Host, f Fault) {
	b, err := json.Marshal(f)
	if err != nil {
		return
	}
	c := http.Client{Timeout: time.Second}
	res, err := c.Post("http://"+h.Address.String()+"/standin/faults", "application/json", bytes.NewReader(b))
	if err == nil {
		_ = res.Body.Close()
	}
}

// SetHosts adds or replaces hosts.
func (p *Platform) SetHosts(l []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range l {
		p.hosts[h.Name] = h
	}
}

func (p *Platform) setHosts(w http.ResponseWriter, r *http.Request) {
	var l []platform.Host
	if decode(w, r, &l) {
		p.SetHosts(l)
	}
}

func (p *Platform) listReboots(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.reboots)
}

func (p *Platform) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Stats{Reads: p.reads.Load(), Writes: p.writes.Load(), Watches: p.watches.Load()})
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
