package fleet

import (
	"slices"
	"time"

	"amberway/config"
	"amberway/platform"
)

// Time limits of a host's maintenance.
const (
	// OrderTTL is how long a reboot order may be sent before it has to be renewed.
	// A host returns to service only after its order has expired, so OrderTTL also
	// bounds how long a host stays out of service after its reboot, apart from the
	// wait for the next plan. Whether one is due is checked twice a second.
	OrderTTL = 3 * time.Second
	// RebootTimeout is how long a reboot may take before the host is overdue.
	RebootTimeout = 15 * time.Minute
	// HostRemovalDelay is how long a host may be missing from fresh host lists
	// before it is removed from the record.
	HostRemovalDelay = 10 * time.Minute
)

// Input is the input of Plan.
type Input struct {
	Now        time.Time
	Document   *config.Document
	Generation int64
	DataCentre string
	Record     Record
	List       platform.HostList
	// IdleTerms has the draining hosts that all entry hosts have reported as idle,
	// with the term for which they did so.
	IdleTerms map[string]int64
}

// Output is the result of Plan.
type Output struct {
	// Record is the next record. It has to be written to the store before anything
	// else is done.
	Record Record
	// Changed says that Record differs from Input.Record.
	Changed bool
	// Orders may be sent only once Record is stored.
	Orders []platform.RebootOrder
	// Blocked gives the reason for each host whose addition, drain, reboot or move
	// has to wait.
	Blocked map[string]string
	// Notes are messages for operators.
	Notes []string
}

// planner computes one plan.
type planner struct {
	Input
	out        Output
	listed     map[string]platform.Host
	pools      *config.Matcher
	capacities map[string]*PoolCapacity
	// quotaUsage counts the hosts and accelerators of each team, by team name.
	quotaUsage map[string]*usage
	listStale  bool
}

// Plan computes the next record of a data centre. It changes nothing if the record
// was made under a newer configuration than the one in the input, or if the input has
// none yet.
func Plan(in Input) Output {
	p := &planner{Input: in, out: Output{Record: in.Record.Clone(), Blocked: map[string]string{}}}
	if in.Generation < in.Record.Generation || in.Generation == 0 {
		p.note("the record was made under a newer configuration than the one in force here")
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

// advanceHost applies the state transition that is due for one host.
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

// removeUnlisted removes a host that has been missing from fresh host lists for
// HostRemovalDelay, and reports whether it did.
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

// confirmDrained marks a draining host as drained once all entry hosts have reported
// it as idle in its current term.
func (p *planner) confirmDrained(name string, w HostStatus) {
	if t, ok := p.IdleTerms[name]; !ok || t != w.Term {
		p.out.Blocked[name] = "not all entry hosts have reported it as idle"
		return
	}
	w.State = Drained
	p.setHost(name, w)
	p.afterDrain(name, w)
}

// afterDrain continues with a drained host by the purpose of its drain.
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

// returnToService returns a host to service, or leaves it drained if an operator holds
// it, in both cases under a new term.
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
	if c, ok := p.capacities[w.Pool]; ok && available(w, p.listed[name]) && !p.listStale {
		c.add(p.listed[name].Rack)
	}
}

// orderReboot sets a drained host to rebooting, under a new term.
func (p *planner) orderReboot(name string, w HostStatus) {
	h, ok := p.listed[name]
	if p.listStale || !ok {
		p.out.Blocked[name] = "it is not in a fresh host list"
		return
	}
	w.State = Rebooting
	w.Term++
	w.Boot = h.Boot
	w.OrderDeadline = p.Now.Add(OrderTTL)
	w.RebootDeadline = p.Now.Add(RebootTimeout)
	p.setHost(name, w)
	p.addOrder(name, w, h)
}

// checkReboot returns a rebooted host to service, or marks it as overdue. A host whose
// order may still be sent does not return: it may have restarted by itself, and the
// order would then interrupt the requests on it.
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
	p.addOrder(name, w, h)
}

// addOrder adds the host's order to the output, which every plan does until the host
// goes down or is overdue: an earlier coordinator may have died before it sent the order.
// An order that has expired gets a new deadline. The platform carries out an order once
// per term.
func (p *planner) addOrder(name string, w HostStatus, h platform.Host) {
	if w.State != Rebooting || !h.Live {
		return
	}
	if !p.Now.Before(w.OrderDeadline) {
		w.OrderDeadline = p.Now.Add(OrderTTL)
		p.setHost(name, w)
	}
	p.out.Orders = append(p.out.Orders, platform.RebootOrder{Host: name, Term: w.Term, Deadline: w.OrderDeadline})
}

// drainHeld drains each host that an operator holds.
func (p *planner) drainHeld() {
	for _, n := range p.out.Record.Names() {
		w := p.out.Record.Hosts[n]
		if w.Held && w.State == InService {
			p.drain(n, w)
		}
	}
}

// drain starts the drain of one host if its pool's budget allows it, and reports
// whether it did. A host that is not available anyway costs no budget.
func (p *planner) drain(name string, w HostStatus) bool {
	h := p.listed[name]
	c, ok := p.capacities[w.Pool]
	if ok && available(w, h) && !c.allowsDrain(h.Rack) {
		p.out.Blocked[name] = "the budget of pool " + w.Pool + " does not allow it"
		if c.BudgetExhausted() {
			p.out.Blocked[name] = "failures have used up the budget of pool " + w.Pool
		}
		return false
	}
	if ok && available(w, h) {
		c.remove(h.Rack)
	}
	w.State = Draining
	w.Term++
	p.setHost(name, w)
	return true
}
