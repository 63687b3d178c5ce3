package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"amberway/platform"
)

// worldServices is the model's state of queues that are sent to other services.
type worldServices struct {
	// hostServices holds the services of hosts other than "blue".
	hostServices map[string]string
	// queueService is the service of the first queue, and accepting the one for which entry hosts
	// accept its jobs, which follow a change later. Empty means that it has never changed.
	queueService, accepting string
	// dropped says that the configuration does not have the queue.
	dropped bool
	// advised says that the queue carries advice. Tickets of the advice service are valid until the
	// given times.
	advised bool
	tickets map[worldTicket]time.Time
}

// redService is a service that only the model's configurations of changing queues have.
const redService = "red"

// serviceOf returns the service of the host's workers.
func (w *worldServices) serviceOf(host string) string {
	if s, ok := w.hostServices[host]; ok {
		return s
	}
	return "blue"
}

// queues returns the queues of the configuration.
func (w *worldServices) queues(l []platform.Queue) []platform.Queue {
	l = slices.Clone(l)
	if w.queueService != "" {
		l[0].Service = w.queueService
	}
	l[0].Advice = w.adviceTimes()
	if w.dropped {
		return l[1:]
	}
	return l
}

// acceptingQueue returns the queue for which entry hosts accept jobs.
func (w *worldServices) acceptingQueue() platform.Queue {
	q := testConfig().Queues[0]
	if w.accepting != "" {
		q.Service = w.accepting
	}
	q.Advice = w.adviceTimes()
	return q
}

// reroute sends the queue to a service, or drops it. Owners learn of it a little later, and the entry
// hosts before or after them.
func (w *world) reroute(service string, dropped bool) {
	w.queueService, w.dropped = service, dropped
	w.version++
	d := w.config()
	w.after(w.drawMillis("entry_hosts_after", 1000), func() { w.accepting = service })
	w.after(w.drawMillis("owners_after", 1000), func() {
		for _, o := range w.owners {
			w.tell(o, ConfigChanged{Config: d})
		}
	})
}

// TestPromisesHoldWhenQueuesChangeTheirService sends a queue to other services, again and again, while
// workers of these are cut off or crash, messages are lost, and owners change. It guards against tasks
// that are started again while they run in a service to which the queue was sent in between.
func TestPromisesHoldWhenQueuesChangeTheirService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newWorld(t).playServices() })
}

// rerouteTwice sends the queue to two services in turn while a long task of it runs, cuts off a busy
// worker, and replaces the owner.
func (w *world) rerouteTwice() {
	w.submitSteps(platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 500}, Estimate: 15 * time.Second})
	for _, s := range rapid.Permutation([]string{"blue", "green", redService}).Draw(w.t, "services")[:2] {
		w.reroute(s, false)
		w.advance(time.Duration(rapid.IntRange(5, 20).Draw(w.t, "rerouted_tenths")) * 100 * time.Millisecond)
	}
	for _, v := range w.workersByStart {
		if v.alive && len(v.runs) > 0 && rapid.Bool().Draw(w.t, "cut_busy") {
			v.partitioned = true
			w.after(5500*time.Millisecond, func() { v.partitioned = false })
		}
	}
	w.replaceOwner(func(o *worldOwner) { o.dead = true })
}

func (w *world) playServices() {
	t := w.t
	w.hostServices = map[string]string{}
	w.advised = rapid.Bool().Draw(t, "advised")
	for _, s := range []string{"green", redService} {
		w.hosts++
		host := fmt.Sprint("host-", w.hosts)
		w.hostServices[host] = s
		w.addWorker(host)
	}
	w.reroute("blue", false)
	w.advance(1100 * time.Millisecond)
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(*rapid.T) { w.submit() },
		"pass": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
		},
		"reroute": func(t *rapid.T) {
			w.reroute(rapid.SampledFrom([]string{"blue", "green", redService}).Draw(t, "service"), rapid.IntRange(0, 4).Draw(t, "dropped") == 0)
		},
		"cut": func(*rapid.T) { v := w.pickWorker(); v.partitioned = !v.partitioned },
		"cut and kill": func(t *rapid.T) {
			v := w.pickWorker()
			v.partitioned = true
			w.after(time.Duration(rapid.IntRange(20, 60).Draw(t, "cut_tenths"))*100*time.Millisecond, func() { v.partitioned = false })
			w.replaceOwner(func(o *worldOwner) { o.dead = true })
		},
		"reroute twice": func(*rapid.T) { w.rerouteTwice() },
		"lossy":         func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
		"cancel":        func(*rapid.T) { w.cancelSome() },
		"crash":         func(*rapid.T) { w.crash() },
		"kill":          func(*rapid.T) { w.replaceOwner(func(o *worldOwner) { o.dead = true }) },
		"freeze":        func(*rapid.T) { w.replaceOwner(w.freeze) },
		"abandon": func(*rapid.T) {
			w.deposeOwner()
		},
	})
	w.reroute("blue", rapid.Bool().Draw(t, "left_dropped"))
	w.heal()
	require.Empty(t, w.store.records, "jobs that never end")
}
