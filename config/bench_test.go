package config

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// largeDocument is a document of so many pools, with a service each, and teams.
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

// BenchmarkAdopt is what one change costs each process: a head and one section
// to take in.
func BenchmarkAdopt(b *testing.B) {
	for _, pools := range []int{5, 50, 259} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			d := largeDocument(pools)
			head, blobs, err := (&Head{Sections: map[string]Hash{}}).next(d, "first")
			if err != nil {
				b.Fatal(err)
			}
			a := NewAdopter()
			a.Offer(head)
			if _, err := a.Supply(time.Now(), blobs); err != nil {
				b.Fatal(err)
			}
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				d.Pools[0].Budget.Available = map[string]int{"north": bytes % 7}
				next, all, err := a.Current().Head.next(d, "next")
				if err != nil {
					b.Fatal(err)
				}
				a.Offer(next)
				one := map[Hash][]byte{}
				for _, h := range a.Missing() {
					one[h] = all[h]
				}
				if _, err := a.Supply(time.Now(), one); err != nil {
					b.Fatal(err)
				}
				bytes++
			}
			j, _ := json.Marshal(a.Current().Head)
			b.ReportMetric(float64(len(j)), "head-bytes")
		})
	}
}

// BenchmarkCheck is the check of a whole document.
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
