package tests

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/standin/fleet"
)

// startJobsForCrowd starts one entry host with the limits of these tests.
func startJobsForCrowd(t *testing.T) (*local.JobsDeployment, *watchedProcess) {
	t.Helper()
	j, err := local.StartJobsDeployment(binaries, t.TempDir(), local.JobsOptions{
		Entries: 1, Workers: map[string]int{"blue": 3}, NoSparePool: true,
		MemoryMB: crowdMemoryMB, MaxDescriptors: crowdMaxDescriptors, MaxBodyBytes: crowdMaxBody,
	})
	t.Cleanup(j.Stop)
	require.NoError(t, err)
	t.Cleanup(func() { require.Empty(t, j.Fleet.Checker.Violations()) })
	e := j.Entries[0]
	return j, watch(t, e.Process, e.Callers, e.Peers, e.Readiness)
}

// checkJobsBeside opens the crowd and checks that an ordinary job succeeds while it is open, and
// that the host stays within its limits.
func checkJobsBeside(t *testing.T, j *local.JobsDeployment, w *watchedProcess, c *crowd) {
	t.Helper()
	c.open(t)
	checkOrdinaryJob(t, j.Entries[0])
	time.Sleep(crowdStays)
	w.checkWithin(t)
	c.check(t)
}

// checkOrdinaryJob submits a job, on new connections and with a new id each time, until it is
// taken, and checks that it succeeds and that those that were refused are not known.
func checkOrdinaryJob(t *testing.T, e *local.JobsEntry) {
	t.Helper()
	start := time.Now()
	var refused []string
	last := "no answer"
	n := 0
	taken := func() bool {
		n++
		code, h, body, err := e.CallOnNewConnection(http.MethodPost, "blue", jobID(n), shortJob("10ms"))
		if err != nil {
			last = err.Error()
			return false
		}
		last = fmt.Sprint(code, " ", body)
		if isRefusal(code) {
			assert.NotEmpty(t, h.Get("Retry-After"), last)
			refused = append(refused, jobID(n))
		}
		return code == http.StatusOK
	}
	for !taken() {
		if time.Since(start) > crowdTimeout {
			assert.Fail(t, "no ordinary job was taken", "%d were refused, last: %s", len(refused), last)
			return
		}
		time.Sleep(pollInterval)
	}
	t.Logf("job taken after %s at try %d, %d refused", time.Since(start).Round(time.Millisecond), n, len(refused))
	state := func(id, want string) func() bool {
		return func() bool {
			code, _, body, err := e.CallOnNewConnection(http.MethodGet, "blue", id, nil)
			return err == nil && strings.HasPrefix(fmt.Sprint(code, " ", body), want)
		}
	}
	assert.Eventually(t, state(jobID(n), succeeded), crowdTimeout, pollInterval, "the job that was taken")
	for _, id := range refused {
		assert.Eventually(t, state(id, "410 "), crowdTimeout, pollInterval, "refused job %s", id)
	}
}

func crowdJobID(i int) string {
	return fmt.Sprintf("%016x", i+0xdef000)
}

// jobHead returns the head of a request for job i; more is what follows the common headers.
func jobHead(method string, i int, more string) string {
	return fmt.Sprintf("%s %sblue/%s HTTP/1.1\r\nHost: %s\r\n%s\r\n", method, fleet.QueuePrefix, crowdJobID(i), fleet.JobsHost, more)
}

// largeBody is the beginning of a large body.
var largeBody = `{"spec":"` + strings.Repeat("x", crowdMaxBody)

// sendShort sends a request whose body has the given length, without its last byte.
func sendShort(head func(i int, more string) string, length int) func(int, io.Writer) error {
	return func(i int, c io.Writer) error {
		_, err := io.WriteString(c, head(i, fmt.Sprintf("Content-Length: %d\r\n", length))+largeBody[:length-1])
		return err
	}
}

// sendChunked sends a request with a number of chunks, without the one that ends its body.
func sendChunked(head func(i int, more string) string, chunk string, n int) func(int, io.Writer) error {
	part := fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	// Parts are written together, as a write of each would take most of the time.
	perWrite := min(n, max(1, 1<<15/len(part)))
	parts := strings.Repeat(part, perWrite)
	return func(i int, c io.Writer) error {
		_, err := io.WriteString(c, head(i, "Transfer-Encoding: chunked\r\n"))
		for sent := 0; sent < n && err == nil; sent += perWrite {
			_, err = io.WriteString(c, parts[:min(perWrite, n-sent)*len(part)])
		}
		return err
	}
}

func postHead(i int, more string) string {
	return jobHead(http.MethodPost, i, more)
}

func TestUnfinishedLargeBodiesStayWithinTheMemory(t *testing.T) {
	j, w := startJobsForCrowd(t)
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: 400, send: sendShort(postHead, 262000)})
}

func TestUnfinishedLargeChunksStayWithinTheMemory(t *testing.T) {
	j, w := startJobsForCrowd(t)
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: 400, send: sendChunked(postHead, largeBody[:32<<10], 7)})
}

func TestUnfinishedSmallChunksStayWithinTheMemory(t *testing.T) {
	j, w := startJobsForCrowd(t)
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: 400, send: sendChunked(postHead, "x", 262000)})
}

func TestUnfinishedBodiesOfPeersStayWithinTheMemory(t *testing.T) {
	j, w := startJobsForCrowd(t)
	head := func(i int, more string) string {
		return "POST /jobs/" + crowdJobID(i) + " HTTP/1.1\r\nHost: peer\r\n" + more + "\r\n"
	}
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Peers, size: 400, send: sendShort(head, 262000)})
	checkReady(t, j.Entries[0])
}

func TestUnfinishedHeadersStayWithinTheMemory(t *testing.T) {
	j, w := startJobsForCrowd(t)
	var headers strings.Builder
	for i := 0; headers.Len() < 900_000; i++ {
		fmt.Fprintf(&headers, "X-Header-%d: %s\r\n", i, strings.Repeat("x", 1000))
	}
	h := strings.TrimSuffix(jobHead(http.MethodGet, 0, headers.String()), "\r\n")
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: 200, send: func(_ int, c io.Writer) error {
		_, err := io.WriteString(c, h)
		return err
	}})
}

func TestBodiesWithManyStepsStayWithinTheMemory(t *testing.T) {
	j, w := startJobsForCrowd(t)
	const step = `{"count":1},`
	steps := strings.Repeat(step, (crowdMaxBody-len(`{"steps":[]}`))/len(step))
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: 60, send: sendWhole(`{"steps":[`+strings.TrimSuffix(steps, ",")+`]}`, 1)})
}

func TestWholeBodiesThatAreNoJobStayWithinTheMemory(t *testing.T) {
	j, w := startJobsForCrowd(t)
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: 400, send: sendWhole(largeBody[:crowdMaxBody], 8)})
}

// sendWhole sends requests with the body one after the other, and does not wait for their answers.
func sendWhole(body string, times int) func(int, io.Writer) error {
	return func(i int, c io.Writer) error {
		var err error
		for n := 0; n < times && err == nil; n++ {
			_, err = io.WriteString(c, postHead(i, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		}
		return err
	}
}

// The limits that protect a host from a crowd must not refuse a single client.
func TestLargestBodyOfAJobIsTakenInCalm(t *testing.T) {
	j, w := startJobsForCrowd(t)
	b, err := json.Marshal(shortJob("10ms"))
	require.NoError(t, err)
	begin, end := strings.TrimSuffix(string(b), "}")+`,"other":"`, `"}`
	largest := begin + strings.Repeat("x", crowdMaxBody-len(begin)-len(end)) + end
	code, body, err := j.Entries[0].Call(http.MethodPost, "blue", jobID(1), json.RawMessage(largest))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, code, body)
	require.Eventually(t, func() bool { return jobState(t, j.Entries[0], "blue", jobID(1)) == succeeded }, jobTimeout, pollInterval)
	w.checkWithin(t)
}
