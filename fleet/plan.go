package fleet

import (
	"slices"
	"time"

	"amberway/config"
	"amberway/platform"
)

// Times of a host's maintenance.
const (
	// OrderTTL is how long an order to the platform may be sent before it is
	// renewed. A host is not taken back before its order is over, so that it also
	// bounds how much later than its reboot a host serves; a plan is made twice a
	// second.
	OrderTTL = 3 * time.Second
	// RebootTimeout is how long a reboot may take.
	RebootTimeout = 15 * time.Minute
	// HostRemovalDelay is how long a host may be off a fresh list before its row goes.
	HostRemovalDelay = 10 * time.Minute
)

// Input is what a plan is made from.
type Input struct {
	Now        time.Time
	Document   *config.Document
	Generation int64
	DataCentre string
	Record     Record
	List       platform.HostList
	// IdleTerms holds the hosts that every live entry host has said to be idle, by
	// the term that it was said for.
	IdleTerms map[string]int64
}

// Output is what a plan comes to.
type Output struct {
	// Record is the next record. It is to be swapped in before anything else
	// is done.
	Record Record
	// Changed says that the record differs from the one handed in.
	Changed bool
	// Orders may be sent once the record is swapped in, and only then.
	Orders []platform.RebootOrder
	// Blocked says for each host whose drain waits why it does.
	Blocked map[string]string
	// Notes are for operators.
	Notes []string
}

// planner is one plan in the making.
type planner struct {
	Input
	out        Output
	listed     map[string]platform.Host
	pools      *config.Matcher
	capacities map[string]*PoolCapacity
	// quotaUsage counts the hosts and accelerators of each team.
	quotaUsage map[string]*usage
	listStale  bool
}

// Plan returns the next record of a data centre. It does nothing where the
// record was made under a newer configuration than the one handed in.
func Plan(in Input) Output {
	p := &planner{Input: in, out: Output{Record: in.Record.Clone(), Blocked: map[string]string{}}}
	if in.Generation < in.Record.Generation || in.Generation == 0 {
		p.note("the record is of a newer configuration than the one in force here")
		return p.out
	}
	p.listStale = IsListStale(in.Now, in.List)
	p.index()
	for _, n := range p.out.Record.Names() {
		p.advanceHost(n)
	}
	if !p.listStale {
		p.addHosts()
		p.drainForMove()
		p.drainHeld()
		p.runWaves()
		p.placeJobs()
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
	p.capacities = PoolCapacities(p.Now, p.Document, p.DataCentre, p.Record, p.List)
	p.quotaUsage = map[string]*usage{}
	for n, w := range p.Record.Hosts {
		p.addUsage(w.Pool, p.listed[n])
	}
}

func (p *planner) setHost(name string, w HostStatus) {
	p.out.Record.Hosts[name] = w
	p.out.Changed = true
}

func (p *planner) removeHost(name string) {
	delete(p.out.Record.Hosts, name)
	p.out.Changed = true
}

// advanceHost moves one host on by what is known of it.
func (p *planner) advanceHost(name string) {
	w := p.out.Record.Hosts[name]
	if p.removeUnlisted(name, w) {
		return
	}
	w = p.out.Record.Hosts[name]
	switch w.State {
	case Draining:
		p.confirmDrained(name, w)
	case Drained:
		p.afterDrain(name, w)
	case Rebooting, Overdue:
		p.checkReboot(name, w)
	case InService:
		p.forgetWaves(name, w)
	}
}

// removeUnlisted drops the row of a host that has been off a fresh list for long, and
// reports whether it did.
func (p *planner) removeUnlisted(name string, w HostStatus) bool {
	if p.listStale {
		return false
	}
	_, ok := p.listed[name]
	switch {
	case ok && !w.RemoveAt.IsZero():
		w.RemoveAt = time.Time{}
		p.setHost(name, w)
	case !ok && w.RemoveAt.IsZero():
		w.RemoveAt = p.Now.Add(HostRemovalDelay)
		p.setHost(name, w)
	case !ok && p.Now.After(w.RemoveAt):
		p.removeHost(name)
		return true
	}
	return false
}

// confirmDrained takes a draining host on once every live entry host has said that it
// is idle in this very term.
func (p *planner) confirmDrained(name string, w HostStatus) {
	if t, ok := p.IdleTerms[name]; !ok || t != w.Term {
		p.out.Blocked[name] = "not every entry host has said that it is idle"
		return
	}
	w.State = Drained
	p.setHost(name, w)
	p.afterDrain(name, w)
}

// afterDrain decides what a drained host is drained for.
func (p *planner) afterDrain(name string, w HostStatus) {
	switch {
	case w.Moving:
		p.finishMove(name, w)
	case w.Wave != "" && p.waveState(w.Wave) == config.WaveRunning:
		p.orderReboot(name, w)
	case w.Wave != "" && p.waveState(w.Wave) == config.WavePaused:
		p.out.Blocked[name] = "wave " + w.Wave + " is paused"
	case w.Held:
		return
	default:
		p.returnToService(name, w)
	}
}

// returnToService puts a host into service again.
func (p *planner) returnToService(name string, w HostStatus) {
	w.State = InService
	w.Wave = ""
	w.Term++
	w.OrderDeadline = time.Time{}
	w.RebootDeadline = time.Time{}
	if w.Held {
		w.State = Drained
	}
	p.setHost(name, w)
	if t, ok := p.capacities[w.Pool]; ok && available(w, p.listed[name]) && !p.listStale {
		t.add(p.listed[name].Rack)
	}
}

// orderReboot writes down that the host is to reboot, under a new term.
func (p *planner) orderReboot(name string, w HostStatus) {
	h, ok := p.listed[name]
	if p.listStale || !ok {
		p.out.Blocked[name] = "the host list does not tell of it"
		return
	}
	w.State = Rebooting
	w.Term++
	w.Boot = h.Boot
	w.OrderDeadline = p.Now.Add(OrderTTL)
	w.RebootDeadline = p.Now.Add(RebootTimeout)
	p.setHost(name, w)
	p.repeatOrder(name, w, h)
}

// checkReboot takes a rebooted host back, or notes that it stays away. While its order
// may still be sent it is not taken back: the host may have restarted by itself, and
// the order would end what runs on it by then.
func (p *planner) checkReboot(name string, w HostStatus) {
	h, ok := p.listed[name]
	if p.listStale {
		return
	}
	restarted := ok && h.Live && h.Boot > w.Boot
	if restarted && p.Now.Before(w.OrderDeadline) {
		return
	}
	if restarted {
		w.Done = append(slices.Clone(w.Done), w.Wave)
		p.returnToService(name, w)
		return
	}
	if w.State == Rebooting && p.Now.After(w.RebootDeadline) {
		w.State = Overdue
		p.setHost(name, w)
		p.note("host " + name + " has not come back from its reboot")
	}
	p.repeatOrder(name, w, h)
}

// repeatOrder hands the order out again, for a longer time if that is over: its first
// sender may have died before it was sent. The platform takes each term once.
func (p *planner) repeatOrder(name string, w HostStatus, h platform.Host) {
	if w.State != Rebooting || !h.Live {
		return
	}
	if !p.Now.Before(w.OrderDeadline) {
		w.OrderDeadline = p.Now.Add(OrderTTL)
		p.setHost(name, w)
	}
	p.out.Orders = append(p.out.Orders, platform.RebootOrder{Host: name, Term: w.Term, Deadline: w.OrderDeadline})
}

// drainHeld drains each host that an operator wants drained.
func (p *planner) drainHeld() {
	for _, n := range p.out.Record.Names() {
		w := p.out.Record.Hosts[n]
		if w.Held && w.State == InService {
			p.drain(n, w)
		}
	}
}

// drain grants the drain of one host if its pool's budget allows it.
func (p *planner) drain(name string, w HostStatus) bool {
	h := p.listed[name]
	t, ok := p.capacities[w.Pool]
	if ok && available(w, h) && !t.allowsDrain(h.Rack) {
		p.out.Blocked[name] = "the budget of pool " + w.Pool + " does not allow it"
		if t.BudgetExhausted() {
			p.out.Blocked[name] = "failures have used up the budget of pool " + w.Pool
		}
		return false
	}
	if ok && available(w, h) {
		t.remove(h.Rack)
	}
	w.State = Draining
	w.Term++
	p.setHost(name, w)
	return true
}
