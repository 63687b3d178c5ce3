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

// Load says what a caller sends.
type Load struct {
	// Entries are the base URLs of the entry hosts.
	Entries []string
	// Paths are the paths of the requests, taken in turn.
	Paths []Path
	// Count is the number of requests.
	Count int
	// Interval is the time between two requests.
	Interval time.Duration
}

// Path is one kind of request.
type Path struct {
	Path string
	// Once says that the request may not be repeated.
	Once bool
	// Within is how long the caller waits for an answer.
	Within time.Duration
	// Run is how long the target is to run.
	Run time.Duration
}

// Tally is what became of a load.
type Tally struct {
	Sent       int `json:"sent"`
	Answered   int `json:"answered_whole_and_in_time"`
	Late       int `json:"late"`
	NotRun     int `json:"refused_as_not_run"`
	MayHaveRun int `json:"may_have_run"`
	Lost       int `json:"lost"`
	Crossed    int `json:"crossed"`
	// IDs are the ids of requests that may not be repeated, with the verdict.
	IDs map[string]string `json:"ids"`
	// Failures tells of the first requests without a whole answer in time, so
	// that what became of them can be traced.
	Failures []string `json:"failures,omitempty"`
	// Longest is the longest time that an answer took.
	Longest time.Duration `json:"longest_nanoseconds"`
}

// Caller sends a load over several entry hosts and checks every answer.
type Caller struct {
	client *http.Client
	mu     sync.Mutex
	tally  Tally
}

// NewCaller returns a caller that has sent nothing.
func NewCaller() *Caller {
	t := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Caller{client: &http.Client{Transport: t}, tally: Tally{IDs: map[string]string{}}}
}

// Run sends the load and waits for every answer.
func (c *Caller) Run(ctx context.Context, l Load) Tally {
	var g sync.WaitGroup
	for i := 0; i < l.Count && ctx.Err() == nil; i++ {
		g.Go(func() { c.request(ctx, l, i) })
		time.Sleep(l.Interval)
	}
	g.Wait()
	return c.tally
}

// maxEntries is how many entry hosts one request is tried at, as a balancer
// would, as long as no connection is had.
const maxEntries = 3

func (c *Caller) request(ctx context.Context, l Load, i int) {
	p := l.Paths[i%len(l.Paths)]
	id := ""
	if p.Once {
		id = uuid.Must(uuid.NewV7()).String()
	}
	body := []byte(fmt.Sprintf("request %d of %d", i, rand.Int64()))
	start := time.Now()
	e := rand.IntN(len(l.Entries))
	for n := range maxEntries {
		res, err := c.send(ctx, l.Entries[(e+n)%len(l.Entries)], p, id, body, start)
		if err != nil && refused(err) && n < maxEntries-1 {
			continue
		}
		c.count(p, id, body, start, res, err)
		return
	}
}

// reply is an answer that was read to its end.
type reply struct {
	status  int
	verdict string
	body    []byte
}

func (c *Caller) send(ctx context.Context, entry string, p Path, id string, body []byte, start time.Time) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Within+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+p.Path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set(common.HeaderDeadline, start.Add(p.Within).Format(time.RFC3339Nano))
	if id != "" {
		req.Header.Set(common.HeaderKey, id)
		req.Header.Set(common.HeaderRepeatable, strconv.FormatBool(false))
		// A body that cannot be read again keeps net/http from repeating it.
		req.GetBody = nil
	}
	if p.Run > 0 {
		req.Header.Set(HeaderRun, p.Run.String())
	}
	res, err := c.client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return reply{res.StatusCode, res.Header.Get(common.HeaderVerdict), b}, err
}

func refused(err error) bool {
	var o interface{ Timeout() bool }
	if errors.As(err, &o) && o.Timeout() {
		return false
	}
	return errors.Is(err, errRefused)
}

// maxFailures bounds what a Tally tells of.
const maxFailures = 10

func (c *Caller) count(p Path, id string, body []byte, start time.Time, r reply, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	took := time.Since(start)
	c.tally.Sent++
	if id != "" {
		c.tally.IDs[id] = r.verdict
	}
	whole := err == nil && r.status == http.StatusOK && took <= p.Within
	if !whole && len(c.tally.Failures) < maxFailures {
		c.tally.Failures = append(c.tally.Failures,
			fmt.Sprintf("%s at %s after %s: %d %s %s %v", p.Path, start.Format(time.StampMilli), took, r.status, r.verdict, r.body, err))
	}
	switch {
	case err != nil:
		c.tally.Lost++
	case r.status == http.StatusOK && string(r.body) != Expect(p.Path, body, 0):
		c.tally.Crossed++
	case r.status == http.StatusOK && took > p.Within:
		c.tally.Late++
	case r.status == http.StatusOK:
		c.tally.Answered++
		c.tally.Longest = max(c.tally.Longest, took)
	case r.verdict == common.NotRun.String():
		c.tally.NotRun++
	default:
		c.tally.MayHaveRun++
	}
}
