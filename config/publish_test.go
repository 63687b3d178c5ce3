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

// publishModel has operators that publish concurrently through a store that loses and
// delays writes and loses answers, and entry hosts that adopt new and old heads. The
// oracle is what each operator was told about its publication.
type publishModel struct {
	t              *rapid.T
	store          *standin.FaultyStore
	hosts          []*Adopter
	lastGeneration []int64
	// accepted has, by generation, the operator of the document that was reported
	// to be in force. refused has those reported not to be.
	accepted map[int64]string
	refused  map[string]bool
	// heads are all heads that have been seen in the store.
	heads []*Head
	// documentCount numbers the documents.
	documentCount int
	// nesting counts nested publications: each store call may start another one.
	nesting int
	faults  bool
}

func newPublishModel(t *rapid.T) *publishModel {
	m := &publishModel{t: t, store: standin.NewFaultyStore(), accepted: map[int64]string{}, refused: map[string]bool{}, faults: true}
	m.store.Decide = m.drawOutcome
	for range 3 {
		m.hosts = append(m.hosts, NewAdopter())
	}
	m.lastGeneration = make([]int64, len(m.hosts))
	return m
}

func (m *publishModel) drawOutcome(write bool) standin.Outcome {
	if !m.faults {
		return standin.Succeeds
	}
	if m.nesting < 2 && rapid.IntRange(0, 9).Draw(m.t, "meanwhile") == 0 {
		m.nesting++
		m.publish()
		m.nesting--
	}
	if !write {
		return standin.Succeeds
	}
	outcomes := []standin.Outcome{
		standin.Succeeds, standin.Succeeds, standin.Succeeds, standin.Succeeds, standin.Succeeds,
		standin.NotSent, standin.RequestLost, standin.AnswerLost, standin.Delayed,
	}
	return rapid.SampledFrom(outcomes).Draw(m.t, "fate")
}

// document returns a document that differs from all others by its operator.
func (m *publishModel) document() *Document {
	m.documentCount++
	d := &Document{Operator: fmt.Sprint("operator-", m.documentCount), DataCentres: []string{"north"}}
	for n := range rapid.IntRange(0, 2).Draw(m.t, "pools") {
		d.Teams = append(d.Teams, Team{Name: fmt.Sprint("team-", n), MaxHosts: rapid.IntRange(0, 2).Draw(m.t, "hosts")})
	}
	return d
}

// publish lets one operator publish from the generation that it has read or from the
// one before.
func (m *publishModel) publish() {
	d := m.document()
	m.nesting++
	h, _, err := ReadHead(context.Background(), m.store)
	m.nesting--
	if err != nil {
		return
	}
	base := h.Generation - int64(rapid.IntRange(0, 1).Draw(m.t, "stale"))
	p := NewPublisher(m.store)
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

// recordHead adds the head that is in the store now to heads.
func (m *publishModel) recordHead() {
	l, _ := m.store.Store.Range(HeadKey, "")
	if len(l) == 0 {
		return
	}
	h, err := DecodeHead(l[0].Value)
	if err != nil {
		m.t.Fatal(err)
	}
	m.heads = append(m.heads, h)
}

// adopt offers one host a new or an old head, with those of its sections that the store
// still has.
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
		l, _ := m.store.Store.Range(SectionPrefix+string(h), "")
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
		m.t.Fatalf("host %d has the document of %s in generation %d, which was accepted from %s", n, s.Document.Operator, s.Head.Generation, want)
	}
	if m.refused[s.Document.Operator] {
		m.t.Fatalf("host %d has the document of %s, which was reported not to be in force", n, s.Document.Operator)
	}
}

// checkFinalHead delivers all delayed writes, and checks that all sections of the head
// in the store are there.
func (m *publishModel) checkFinalHead() {
	m.faults = false
	m.store.DeliverDelayed()
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
		m.t.Fatalf("the newest head was not adopted")
	}
	blobs := map[Hash][]byte{}
	l, _ := m.store.Store.Range(SectionPrefix, string(platform.PrefixEnd(SectionPrefix)))
	for _, k := range l {
		blobs[Hash(string(k.Key)[len(SectionPrefix):])] = k.Value
	}
	if _, err := a.Supply(time.Now(), blobs); err != nil || a.Current().Head.Generation != top.Generation {
		m.t.Fatalf("the head in the store is incomplete: %v", err)
	}
	m.check(0)
}

// TestConfigurationNeverReverts checks that a generation has one content, that no host
// returns to a lower generation, that operators are told correctly whether their change
// is in force, and that no section of the head in force is removed.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPublishModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) { m.t = t; m.publish() },
			"adopt":   m.adopt,
			"deliver": func(*rapid.T) { m.store.DeliverDelayed(); m.recordHead() },
		})
		m.t = t
		m.checkFinalHead()
	})
}

// TestHeadStaysFarBelowMaxValue checks that a head of the size expected two years
// from now stays below a tenth of the platform's largest value.
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
		t.Fatalf("the head has %d bytes: %v", len(b), err)
	}
}
