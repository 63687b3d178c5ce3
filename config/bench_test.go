package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// largeDocument returns a document with the number of pools, each with a service.
func largeDocument(pools int) *Document {
	d := &Document{Operator: "large", DataCentres: []string{"north"}}
	for n := range pools * 71 / 259 {
		d.Teams = append(d.Teams, Team{Name: fmt.Sprint("team-", n)})
	}
	for n := range pools {
		p := fmt.Sprintf("pool-%03d", n)
		d.Pools = append(d.Pools, Pool{Name: p, Select: Selector{"pool": {p}}})
		d.Services = append(d.Services, Service{Name: p, Pool: p, Weight: 1, Jobs: []Job{{Name: "quick"}, {Name: "patient"}}})
	}
	return d
}

// changeOneSection returns the next head, with one section changed, and the section that
// the adopter lacks for it.
func changeOneSection(b *testing.B, a *Adopter, d *Document, n int) (*Head, map[Hash][]byte) {
	b.Helper()
	d.Pools[0].Budget.MinAvailable = map[string]int{"north": n % 7}
	next, all, err := a.Current().Head.next(d, "next")
	if err != nil {
		b.Fatal(err)
	}
	one := map[Hash][]byte{}
	for _, h := range next.Missing(a.Current().Blobs) {
		one[h] = all[h]
	}
	return next, one
}

// BenchmarkAdopt measures the cost of one change to each process, which adopts a head and
// one section.
func BenchmarkAdopt(b *testing.B) {
	for _, pools := range []int{5, 50, 259} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) { benchAdopt(b, largeDocument(pools)) })
	}
}

func benchAdopt(b *testing.B, d *Document) {
	head, blobs, err := (&Head{Sections: map[string]Hash{}}).next(d, "first")
	if err != nil {
		b.Fatal(err)
	}
	a := NewAdopter()
	a.Offer(head)
	if _, err := a.Supply(time.Now(), blobs); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		next, one := changeOneSection(b, a, d, n)
		a.Offer(next)
		if _, err := a.Supply(time.Now(), one); err != nil {
			b.Fatal(err)
		}
	}
	j, err := json.Marshal(a.Current().Head)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(j)), "head-bytes")
}

// BenchmarkCheck measures the validation of a whole document.
func BenchmarkCheck(b *testing.B) {
	for _, pools := range []int{5, 50, 259} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			d := largeDocument(pools)
			for b.Loop() {
				_ = d.Check()
			}
		})
	}
}
