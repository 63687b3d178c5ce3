package job

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/platform"
)

// submitIn submits a job of one step in the data centre.
func (f *fixture) submitIn(dataCentre, id string, s platform.Step) {
	r := NewRecord(f.core.queues["quick"], platform.Submission{Spec: "spec", Steps: []platform.Step{s}}, f.now)
	r.DataCentre = dataCentre
	f.step(Accepted{ID: ID(id), Record: r, Created: platform.Revision(1000 + len(f.core.jobs))})
}

// joinFleet adds n workers in each of the data centres, and gives the owner a link that carries
// all calls to them at once.
func (f *fixture) joinFleet(dataCentres, n int) {
	f.core.flow = newFlowControl(Size{LinkMbps: 1000}, f.now)
	for i := range dataCentres * n {
		f.joinIn(fmt.Sprint("dc-", i%dataCentres), fmt.Sprintf("w%02d", i))
	}
}

// On the day when one data centre of six was cut off, three jobs of four had one of their eight
// tasks there and waited for its workers' leases to expire: 97 of 510 jobs were late. Tasks that
// end stay in the data centre where their job was submitted, so that a cut concerns the jobs that
// were submitted there.
func TestCutDataCentreHoldsOnlyJobsSubmittedThere(t *testing.T) {
	const dataCentres, jobs = 6, 18
	f := newFixture(t)
	f.joinFleet(dataCentres, 8)
	s := oneTask()
	s.Count = 8
	for i := range jobs {
		f.submitIn(fmt.Sprint("dc-", i%dataCentres), fmt.Sprintf("%016x", i+1), s)
	}
	l := f.starts()
	require.Len(t, l, 8*jobs)
	held := map[ID]bool{}
	for _, v := range l {
		k, _ := parseTaskKey(v.Order.Task)
		if v.Worker.DataCentre == "dc-0" {
			held[k.id] = true
		}
	}
	require.Len(t, held, jobs/dataCentres, "jobs with a task in the data centre that is cut off")
}

// A job does not wait for room in its data centre.
func TestTasksRunElsewhereWhereTheirDataCentreIsFull(t *testing.T) {
	f := newFixture(t)
	f.joinFleet(2, 1)
	s := oneTask()
	s.Count = 6
	f.submitIn("dc-0", idA, s)
	n := map[string]int{}
	for _, v := range f.starts() {
		n[v.Worker.DataCentre]++
	}
	require.Equal(t, map[string]int{"dc-0": 4, "dc-1": 2}, n)
}

// Lasting tasks are packed as before: which data centre they were submitted in says nothing of
// where they are to stay.
func TestLastingTasksArePackedAcrossDataCentres(t *testing.T) {
	f := newFixture(t)
	f.joinIn("dc-0", "w0")
	f.joinIn("dc-1", "w1")
	f.submitIn("dc-1", idA, platform.Step{Count: 1, Resources: platform.Resources{MilliCores: 1000}, Estimate: time.Second})
	f.starts()
	s := oneTask()
	s.Lasting = true
	f.submitIn("dc-0", idB, s)
	require.Equal(t, []platform.WorkerID{"w1"}, workersOf(f.starts()))
}

// A worker that fails again and again is worse than another data centre.
func TestFailingWorkersAreAvoidedInTheirDataCentre(t *testing.T) {
	f := newFixture(t)
	f.joinFleet(2, 1)
	f.core.workers["w00"].failures = 2 * otherDataCentrePenalty / failureWeight
	f.submitIn("dc-0", idA, oneTask())
	require.Equal(t, []platform.WorkerID{"w01"}, workersOf(f.starts()))
}
