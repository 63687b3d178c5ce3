package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amberway/internal/standin"
	"amberway/platform"
)

// publishModel is operators that publish at once through a store that loses,
// delays and refuses answers, and entry hosts that adopt heads and sections
// from the store and from each other, old ones too. The oracle is the list of
// heads that were ever in the store.
type publishModel struct {
	t              *rapid.T
	memory         *standin.FaultyStore
	hosts          []*Adopter
	lastGeneration []int64
	// accepted are the values that an operator was told are in force, by
	// generation; refused are those that an operator was told are not.
	accepted map[int64]string
	refused  map[string]bool
	heads    []*Head
	next     int
	depth    int
	faults   bool
}

func newPublishModel(t *rapid.T) *publishModel {
	m := &publishModel{t: t, memory: standin.NewFaultyStore(), accepted: map[int64]string{}, refused: map[string]bool{}, faults: true}
	m.memory.Decide = m.decide
	for range 3 {
		m.hosts = append(m.hosts, NewAdopter())
	}
	m.lastGeneration = make([]int64, len(m.hosts))
	return m
}

func (m *publishModel) decide(write bool) standin.Outcome {
	if !m.faults {
		return standin.Succeeds
	}
	if m.depth < 2 && rapid.IntRange(0, 9).Draw(m.t, "meanwhile") == 0 {
		m.depth++
		m.publish()
		m.depth--
	}
	if !write {
		return standin.Succeeds
	}
	fates := []standin.Outcome{
		standin.Succeeds, standin.Succeeds, standin.Succeeds, standin.Succeeds, standin.Succeeds,
		standin.NotSent, standin.RequestLost, standin.AnswerLost, standin.Delayed,
	}
	return rapid.SampledFrom(fates).Draw(m.t, "fate")
}

// document returns a document that no other publication has.
func (m *publishModel) document() *Document {
	m.next++
	d := &Document{Operator: fmt.Sprint("operator-", m.next), DataCentres: []string{"north"}}
	for n := range rapid.IntRange(0, 2).Draw(m.t, "pools") {
		d.Teams = append(d.Teams, Team{Name: fmt.Sprint("team-", n), MaxHosts: rapid.IntRange(0, 2).Draw(m.t, "hosts")})
	}
	return d
}

// publish lets one operator publish from the generation that it has read.
func (m *publishModel) publish() {
	d := m.document()
	m.depth++
	h, _, err := ReadHead(context.Background(), m.memory)
	m.depth--
	if err != nil {
		return
	}
	base := h.Generation - int64(rapid.IntRange(0, 1).Draw(m.t, "stale"))
	p := NewPublisher(m.memory)
	p.retryDelay = 0
	next, err := p.Publish(context.Background(), d, base)
	var stale *StaleError
	switch {
	case err == nil:
		m.accept(next.Generation, d.Operator)
	case errors.As(err, &stale):
		m.refused[d.Operator] = true
	}
	m.recordHead()
}

func (m *publishModel) accept(gen int64, operator string) {
	if o, ok := m.accepted[gen]; ok && o != operator {
		m.t.Fatalf("generation %d was accepted from %s and from %s", gen, o, operator)
	}
	m.accepted[gen] = operator
}

// recordHead keeps the head that is in the store now.
func (m *publishModel) recordHead() {
	l, _ := m.memory.Store.Range(HeadKey, "")
	if len(l) == 0 {
		return
	}
	h, err := DecodeHead(l[0].Value)
	if err != nil {
		m.t.Fatal(err)
	}
	m.heads = append(m.heads, h)
}

// adopt lets one host learn a head, a new or an old one, with those of its
// sections that the store or another host still has.
func (m *publishModel) adopt(t *rapid.T) {
	m.t = t
	if len(m.heads) == 0 {
		t.Skip("nothing was published")
	}
	n := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
	a := m.hosts[n]
	a.Offer(rapid.SampledFrom(m.heads).Draw(t, "head"))
	m.supply(a)
	m.check(n)
}

func (m *publishModel) supply(a *Adopter) {
	blobs := map[Hash][]byte{}
	for _, h := range a.Missing() {
		l, _ := m.memory.Store.Range(SectionPrefix+string(h), "")
		if len(l) > 0 {
			blobs[h] = l[0].Value
		}
	}
	if rapid.IntRange(0, 4).Draw(m.t, "spoil") == 0 {
		for h := range blobs {
			blobs[h] = []byte(`{"operator":"spoilt"}`)
		}
	}
	if _, err := a.Supply(time.Now(), blobs); err != nil {
		m.t.Fatal(err)
	}
}

func (m *publishModel) check(n int) {
	s := m.hosts[n].Current()
	if s.Head.Generation < m.lastGeneration[n] {
		m.t.Fatalf("host %d went from generation %d back to %d", n, m.lastGeneration[n], s.Head.Generation)
	}
	m.lastGeneration[n] = s.Head.Generation
	if want, ok := m.accepted[s.Head.Generation]; ok && s.Document.Operator != want {
		m.t.Fatalf("host %d has %s in generation %d, which is %s's", n, s.Document.Operator, s.Head.Generation, want)
	}
	if m.refused[s.Document.Operator] {
		m.t.Fatalf("host %d has the document of %s, who was told that it is not in force", n, s.Document.Operator)
	}
}

// checkFinalHead lets every write arrive and checks that the head in the store is whole.
func (m *publishModel) checkFinalHead() {
	m.faults = false
	m.memory.DeliverDelayed()
	m.recordHead()
	if len(m.heads) == 0 {
		return
	}
	top := m.heads[len(m.heads)-1]
	for gen := range m.accepted {
		if gen > top.Generation {
			m.t.Fatalf("generation %d was accepted, the store has %d", gen, top.Generation)
		}
	}
	a := m.hosts[0]
	if !a.Offer(top) && a.Current().Head.Generation < top.Generation && len(a.Missing()) == 0 {
		m.t.Fatalf("the newest head was not taken")
	}
	blobs := map[Hash][]byte{}
	l, _ := m.memory.Store.Range(SectionPrefix, string(platform.PrefixEnd(SectionPrefix)))
	for _, k := range l {
		blobs[Hash(string(k.Key)[len(SectionPrefix):])] = k.Value
	}
	if _, err := a.Supply(time.Now(), blobs); err != nil || a.Current().Head.Generation != top.Generation {
		m.t.Fatalf("the head in the store is not whole: %v", err)
	}
	m.check(0)
}

// TestConfigurationNeverReverts proves that a generation has one content, that
// it only grows on each host, that an operator who was told that a change is in
// force, or is not, was told the truth, and that no section of the head in
// force is ever removed.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPublishModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { m.t = t; m.publish() },
			"adopt":   m.adopt,
			"deliver": func(*rapid.T) { m.memory.DeliverDelayed(); m.recordHead() },
		})
		m.t = t
		m.checkFinalHead()
	})
}

// TestHeadStaysFarBelowMaxValue shows that a head stays far below the platform's largest
// value at the size of two years from now.
func TestHeadStaysFarBelowMaxValue(t *testing.T) {
	d := &Document{Operator: "large"}
	for n := range 259 {
		d.Pools = append(d.Pools, Pool{Name: fmt.Sprint("pool-", n)})
		d.Services = append(d.Services, Service{Name: fmt.Sprint("service-", n)})
	}
	for n := range 71 {
		d.Teams = append(d.Teams, Team{Name: fmt.Sprint("team-", n)})
	}
	h, _, err := (&Head{Sections: map[string]Hash{}}).next(d, "write")
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(h)
	if err != nil || len(b) > platform.MaxValueBytes/10 {
		t.Fatalf("a head of %d bytes: %v", len(b), err)
	}
}
