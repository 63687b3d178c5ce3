package fleet

import (
	"slices"
	"time"

	"amberway/config"
	"amberway/platform"
)

// Times of a host's maintenance.
const (
	// OrderLife is how long an order to the platform may be sent before it is
	// renewed. A host is not taken back before its order is over, so that it also
	// bounds how much later than its reboot a host serves; a plan is made twice a
	// second.
	OrderLife = 3 * time.Second
	// ReturnWithin is how long a reboot may take.
	ReturnWithin = 15 * time.Minute
	// GoneAfter is how long a host may be off a fresh list before its row goes.
	GoneAfter = 10 * time.Minute
)

// Input is what a plan is made from.
type Input struct {
	Now        time.Time
	Document   *config.Document
	Generation int64
	DataCentre string
	Record     Record
	List       platform.HostList
	// Idle holds the hosts that every live entry host has said to be idle, by
	// the term that it was said for.
	Idle map[string]int64
}

// Output is what a plan comes to.
type Output struct {
	// Record is the next record. It is to be swapped in before anything else
	// is done.
	Record Record
	// Changed says that the record differs from the one handed in.
	Changed bool
	// Orders may be sent once the record is swapped in, and only then.
	Orders []platform.Order
	// Blocked says for each host whose drain waits why it does.
	Blocked map[string]string
	// Notes are for operators.
	Notes []string
}

// planner is one plan in the making.
type planner struct {
	Input
	out     Output
	listed  map[string]platform.Host
	pools   *config.Matcher
	tallies map[string]*Tally
	// teams counts the hosts and accelerators of each team.
	teams map[string]*quota
	stale bool
}

// Plan returns the next record of a data centre. It does nothing where the
// record was made under a newer configuration than the one handed in.
func Plan(in Input) Output {
	p := &planner{Input: in, out: Output{Record: in.Record.Clone(), Blocked: map[string]string{}}}
	if in.Generation < in.Record.Generation || in.Generation == 0 {
		p.note("the record is of a newer configuration than the one in force here")
		return p.out
	}
	p.stale = Stale(in.Now, in.List)
	p.index()
	for _, n := range p.out.Record.Names() {
		p.step(n)
	}
	if !p.stale {
		p.admit()
		p.move()
		p.hold()
		p.waves()
		p.place()
	}
	return p.out
}

func (p *planner) note(s string) {
	p.out.Notes = append(p.out.Notes, s)
}

func (p *planner) index() {
	p.pools = config.NewMatcher(p.Document)
	p.listed = make(map[string]platform.Host, len(p.List.Hosts))
	for _, h := range p.List.Hosts {
		p.listed[h.Name] = h
	}
	p.tallies = Tallies(p.Now, p.Document, p.DataCentre, p.Record, p.List)
	p.teams = map[string]*quota{}
	for n, w := range p.Record.Hosts {
		p.charge(w.Pool, p.listed[n])
	}
}

func (p *planner) set(name string, w Row) {
	p.out.Record.Hosts[name] = w
	p.out.Changed = true
}

func (p *planner) drop(name string) {
	delete(p.out.Record.Hosts, name)
	p.out.Changed = true
}

// step moves one host on by what is known of it.
func (p *planner) step(name string) {
	w := p.out.Record.Hosts[name]
	if p.gone(name, w) {
		return
	}
	w = p.out.Record.Hosts[name]
	switch w.State {
	case Draining:
		p.drained(name, w)
	case Drained:
		p.next(name, w)
	case Rebooting, Away:
		p.returned(name, w)
	case InService:
		p.forget(name, w)
	}
}

// gone drops the row of a host that has been off a fresh list for long, and
// reports whether it did.
func (p *planner) gone(name string, w Row) bool {
	if p.stale {
		return false
	}
	_, ok := p.listed[name]
	switch {
	case ok && !w.GoneAt.IsZero():
		w.GoneAt = time.Time{}
		p.set(name, w)
	case !ok && w.GoneAt.IsZero():
		w.GoneAt = p.Now.Add(GoneAfter)
		p.set(name, w)
	case !ok && p.Now.After(w.GoneAt):
		p.drop(name)
		return true
	}
	return false
}

// drained takes a draining host on once every live entry host has said that it
// is idle in this very term.
func (p *planner) drained(name string, w Row) {
	if t, ok := p.Idle[name]; !ok || t != w.Term {
		p.out.Blocked[name] = "not every entry host has said that it is idle"
		return
	}
	w.State = Drained
	p.set(name, w)
	p.next(name, w)
}

// next decides what a drained host is drained for.
func (p *planner) next(name string, w Row) {
	switch {
	case w.Moving:
		p.settle(name, w)
	case w.Wave != "" && p.waveState(w.Wave) == config.WaveRunning:
		p.order(name, w)
	case w.Wave != "" && p.waveState(w.Wave) == config.WavePaused:
		p.out.Blocked[name] = "wave " + w.Wave + " is paused"
	case w.Held:
		return
	default:
		p.back(name, w)
	}
}

// back puts a host into service again.
func (p *planner) back(name string, w Row) {
	w.State = InService
	w.Wave = ""
	w.Term++
	w.OrderBy = time.Time{}
	w.ReturnBy = time.Time{}
	if w.Held {
		w.State = Drained
	}
	p.set(name, w)
	if t, ok := p.tallies[w.Pool]; ok && available(w, p.listed[name]) && !p.stale {
		t.gain(p.listed[name].Rack)
	}
}

// order writes down that the host is to reboot, under a new term.
func (p *planner) order(name string, w Row) {
	h, ok := p.listed[name]
	if p.stale || !ok {
		p.out.Blocked[name] = "the host list does not tell of it"
		return
	}
	w.State = Rebooting
	w.Term++
	w.Boot = h.Boot
	w.OrderBy = p.Now.Add(OrderLife)
	w.ReturnBy = p.Now.Add(ReturnWithin)
	p.set(name, w)
	p.resend(name, w, h)
}

// returned takes a rebooted host back, or notes that it stays away. While its order
// may still be sent it is not taken back: the host may have restarted by itself, and
// the order would end what runs on it by then.
func (p *planner) returned(name string, w Row) {
	h, ok := p.listed[name]
	if p.stale {
		return
	}
	restarted := ok && h.Live && h.Boot > w.Boot
	if restarted && p.Now.Before(w.OrderBy) {
		return
	}
	if restarted {
		w.Done = append(slices.Clone(w.Done), w.Wave)
		p.back(name, w)
		return
	}
	if w.State == Rebooting && p.Now.After(w.ReturnBy) {
		w.State = Away
		p.set(name, w)
		p.note("host " + name + " has not come back from its reboot")
	}
	p.resend(name, w, h)
}

// resend hands the order out again, for a longer time if that is over: its first
// sender may have died before it was sent. The platform takes each term once.
func (p *planner) resend(name string, w Row, h platform.Host) {
	if w.State != Rebooting || !h.Live {
		return
	}
	if !p.Now.Before(w.OrderBy) {
		w.OrderBy = p.Now.Add(OrderLife)
		p.set(name, w)
	}
	p.out.Orders = append(p.out.Orders, platform.Order{Host: name, Term: w.Term, Deadline: w.OrderBy})
}

// hold drains each host that an operator wants drained.
func (p *planner) hold() {
	for _, n := range p.out.Record.Names() {
		w := p.out.Record.Hosts[n]
		if w.Held && w.State == InService {
			p.drain(n, w)
		}
	}
}

// drain grants the drain of one host if its pool's budget allows it.
func (p *planner) drain(name string, w Row) bool {
	h := p.listed[name]
	t, ok := p.tallies[w.Pool]
	if ok && available(w, h) && !t.mayLose(h.Rack) {
		p.out.Blocked[name] = "the budget of pool " + w.Pool + " does not allow it"
		if t.Spent() {
			p.out.Blocked[name] = "failures have used up the budget of pool " + w.Pool
		}
		return false
	}
	if ok && available(w, h) {
		t.lose(h.Rack)
	}
	w.State = Draining
	w.Term++
	p.set(name, w)
	return true
}
