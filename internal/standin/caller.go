package standin

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"amberway/common"
)

// Load describes the requests that a caller sends.
type Load struct {
	// Entries are the base URLs of the entry hosts.
	Entries []string
	// Requests are the kinds of requests, taken in turn.
	Requests []Request
	// Count is the total number of requests.
	Count int
	// Interval is the time between two requests.
	Interval time.Duration
}

// Request is one kind of request.
type Request struct {
	Path string
	// AtMostOnce says that the request may not be repeated.
	AtMostOnce bool
	// Timeout is how long the caller waits for an answer.
	Timeout time.Duration
	// RunTime overrides the run time of the target if it is positive.
	RunTime time.Duration
}

// LoadReport counts the outcomes of the requests of a load. A lost request failed
// without a complete answer, a mismatched one got another body than ExpectedAnswer.
type LoadReport struct {
	Sent       int `json:"sent"`
	Answered   int `json:"answered_whole_and_in_time"`
	Late       int `json:"late"`
	NotRun     int `json:"refused_as_not_run"`
	MayHaveRun int `json:"may_have_run"`
	Lost       int `json:"lost"`
	Mismatched int `json:"crossed"`
	// IDs maps the ids of requests that may not be repeated to their verdicts.
	IDs map[string]string `json:"ids"`
	// Failures describes the first requests without a complete answer in time, so
	// that they can be traced.
	Failures []string `json:"failures,omitempty"`
	// MaxLatency is the longest time that a correct answer in time took.
	MaxLatency time.Duration `json:"longest_nanoseconds"`
}

// Caller sends a load over several entry hosts and checks every answer.
type Caller struct {
	client *http.Client
	mu     sync.Mutex
	report LoadReport
}

// NewCaller returns a caller with an empty report.
func NewCaller() *Caller {
	t := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Caller{client: &http.Client{Transport: t}, report: LoadReport{IDs: map[string]string{}}}
}

// Run sends the load and waits for every answer.
func (c *Caller) Run(ctx context.Context, l Load) LoadReport {
	var g sync.WaitGroup
	for i := 0; i < l.Count && ctx.Err() == nil; i++ {
		g.Go(func() { c.request(ctx, l, i) })
		time.Sleep(l.Interval)
	}
	g.Wait()
	return c.report
}

// maxAttempts bounds the entry hosts that are tried in turn while they refuse the
// connection. A load balancer retries in the same way.
const maxAttempts = 3

func (c *Caller) request(ctx context.Context, l Load, i int) {
	p := l.Requests[i%len(l.Requests)]
	id := ""
	if p.AtMostOnce {
		id = uuid.Must(uuid.NewV7()).String()
	}
	body := []byte(fmt.Sprintf("request %d of %d", i, rand.Int64()))
	start := time.Now()
	e := rand.IntN(len(l.Entries))
	for n := range maxAttempts {
		res, err := c.send(ctx, l.Entries[(e+n)%len(l.Entries)], p, id, body, start)
		if err != nil && isConnectionRefused(err) && n < maxAttempts-1 {
			continue
		}
		c.record(p, id, body, start, res, err)
		return
	}
}

// reply is an answer with its body.
type reply struct {
	status  int
	verdict string
	body    []byte
}

func (c *Caller) send(ctx context.Context, entry string, p Request, id string, body []byte, start time.Time) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+p.Path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set(common.HeaderDeadline, start.Add(p.Timeout).Format(time.RFC3339Nano))
	if id != "" {
		req.Header.Set(common.HeaderIdempotencyKey, id)
		req.Header.Set(common.HeaderRepeatable, strconv.FormatBool(false))
		// Without GetBody, net/http cannot send the request again.
		req.GetBody = nil
	}
	if p.RunTime > 0 {
		req.Header.Set(HeaderRunTime, p.RunTime.String())
	}
	res, err := c.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header.Get(common.HeaderVerdict), b}, err
}

func isConnectionRefused(err error) bool {
	var o interface{ Timeout() bool }
	if errors.As(err, &o) && o.Timeout() {
		return false
	}
	return errors.Is(err, errRefused)
}

// maxFailures bounds LoadReport.Failures.
const maxFailures = 10

func (c *Caller) record(p Request, id string, body []byte, start time.Time, r reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := time.Since(start)
	c.report.Sent++
	if id != "" {
		c.report.IDs[id] = r.verdict
	}
	complete := err == nil && r.status == http.StatusOK && took <= p.Timeout
	if !complete && len(c.report.Failures) < maxFailures {
		c.report.Failures = append(c.report.Failures,
			fmt.Sprintf("%s at %s after %s: %d %s %s %v", p.Path, start.Format(time.StampMilli), took, r.status, r.verdict, r.body, err))
	}
	switch {
	case err != nil:
		c.report.Lost++
	case r.status == http.StatusOK && string(r.body) != ExpectedAnswer(p.Path, body, 0):
		c.report.Mismatched++
	case r.status == http.StatusOK && took > p.Timeout:
		c.report.Late++
	case r.status == http.StatusOK:
		c.report.Answered++
		c.report.MaxLatency = max(c.report.MaxLatency, took)
	case r.verdict == common.NotRun.String():
		c.report.NotRun++
	default:
		c.report.MayHaveRun++
	}
}
