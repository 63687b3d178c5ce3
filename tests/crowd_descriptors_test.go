package tests

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"amberway/internal/local"
)

// descriptorCrowd is more connections than an entry host of these tests may have descriptors.
const descriptorCrowd = crowdMaxDescriptors + 100

func sendNothing(int, io.Writer) error {
	return nil
}

func TestUnfinishedBodiesLeaveDescriptorsForOthers(t *testing.T) {
	j, w := startJobsForCrowd(t)
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: descriptorCrowd, send: sendShort(postHead, 100)})
}

func TestSilentConnectionsLeaveDescriptorsForOthers(t *testing.T) {
	j, w := startJobsForCrowd(t)
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: descriptorCrowd, send: sendNothing})
}

func TestUnfinishedBodiesOfCancelsLeaveDescriptorsForOthers(t *testing.T) {
	j, w := startJobsForCrowd(t)
	head := func(i int, more string) string { return jobHead(http.MethodDelete, i, more) }
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Callers, size: descriptorCrowd, send: sendShort(head, 100)})
}

// TestUnreadAnswersLeaveDescriptorsForOthers sends many requests on each connection and reads no answer.
func TestUnreadAnswersLeaveDescriptorsForOthers(t *testing.T) {
	j, w := startJobsForCrowd(t)
	requests := strings.Repeat(strings.Replace(jobHead(http.MethodGet, 0, ""), crowdJobID(0), "none", 1), 400)
	checkJobsBeside(t, j, w, &crowd{
		address: j.Entries[0].Callers, size: descriptorCrowd, control: leaveLittleRoom, readsNothing: true,
		send: func(_ int, c io.Writer) error {
			_, err := io.WriteString(c, requests)
			return err
		},
	})
}

// leaveLittleRoom has a connection hold few answers that are not read, on both of its ends: small
// segments keep the host from enlarging its buffer.
func leaveLittleRoom(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096),
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536),
		)
	})
	return errors.Join(err, optErr)
}

// The balancer asks for readiness at an address of its own, whose connections take the same
// descriptors.
func TestUnfinishedBodiesAtTheReadinessAddressLeaveDescriptorsForOthers(t *testing.T) {
	j, w := startJobsForCrowd(t)
	head := func(_ int, more string) string { return "POST /ready HTTP/1.1\r\nHost: ready\r\n" + more + "\r\n" }
	checkJobsBeside(t, j, w, &crowd{address: j.Entries[0].Readiness, size: descriptorCrowd, send: sendShort(head, 100)})
	checkReady(t, j.Entries[0])
}

// checkReady checks that the readiness probe succeeds on a new connection.
func checkReady(t *testing.T, e *local.JobsEntry) {
	t.Helper()
	c := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Eventually(t, func() bool {
		res, err := c.Get("http://" + e.Readiness.String() + "/ready")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, crowdTimeout, pollInterval, "readiness")
}
