package request_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amberway/common"
	"amberway/request"
)

func ExampleScheduler() {
	s := request.NewScheduler(request.DefaultPolicy(), rand.New(rand.NewPCG(1, 2)))
	s.SetServices([]request.ServiceSpec{{Name: "tint", Pool: "tint", Weight: 1}})
	s.SetTargets([]request.TargetSpec{{Name: "w1", Pool: "tint", Slots: 1}})
	s.DeclareRunTime("tint", "formula", 200*time.Millisecond)
	now := time.Unix(1e9, 0)

	first := &request.Item{Service: "tint", Job: "formula", Class: common.Quick, Deadline: now.Add(time.Second)}
	fmt.Println(s.Offer(now, first) == nil)
	v, _ := s.Next(now, "tint")
	fmt.Println(v.Item.Target)

	late := &request.Item{Service: "tint", Job: "formula", Class: common.Quick, Deadline: now.Add(100 * time.Millisecond)}
	fmt.Println(s.Offer(now, late).Reason)
	s.Done(now.Add(200*time.Millisecond), first, request.Outcome{OK: true})
	// Output:
	// true
	// w1
	// the answer cannot be there by the deadline
}

func ExampleParseIssued() {
	v, ok := request.ParseIssued("issued:entry-1:1764633600:0199c0f2-7f3a-7cc3-98c4-dc0c0c07398f")
	fmt.Println(ok, v.Name, v.Incarnation)
	_, ok = request.ParseIssued("0199c0f2-7f3a-7cc3-98c4-dc0c0c07398f")
	fmt.Println(ok)
	// Output:
	// true entry-1 1764633600
	// false
}
