package peers

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Conn is the client connection to one peer. All calls share one gRPC connection, which
// is replaced once it has gone silent. Every call between entry hosts may be sent twice:
// it only reads, or carries an id by which a repetition is recognised.
type Conn struct {
	open func() (*grpc.ClientConn, error)
	mu   sync.Mutex
	link *link
}

// link is one gRPC connection. Its counts are guarded by Conn.mu.
type link struct {
	*grpc.ClientConn
	// pending counts the calls in flight.
	pending int
	// answered counts the calls that were answered.
	answered int
}

// errSilent says that a connection that has answered before no longer does.
var errSilent = errors.New("peers: connection has gone silent")

func newConn(open func() (*grpc.ClientConn, error)) (*Conn, error) {
	g, err := open()
	if err != nil {
		return nil, err
	}
	return &Conn{open: open, link: &link{ClientConn: g}}, nil
}

// Invoke makes one call. If a connection that has answered before returns nothing for
// half of the call's time, it is replaced and the call is repeated on the new one.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	f := func(ctx context.Context, l *link) error { return l.Invoke(ctx, method, args, reply, opts...) }
	err := c.invokeHalf(ctx, f)
	if errors.Is(err, errSilent) {
		return c.invokeFull(ctx, f)
	}
	return err
}

// NewStream opens a stream on the current connection.
func (c *Conn) NewStream(ctx context.Context, d *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	return l.NewStream(ctx, d, method, opts...)
}

// invokeHalf makes the call within half of its time if the connection has answered
// before, and returns errSilent if that brought no answer.
func (c *Conn) invokeHalf(ctx context.Context, f func(context.Context, *link) error) error {
	l, answers := c.begin()
	end, bounded := ctx.Deadline()
	if answers == 0 || !bounded {
		return c.end(l, f(ctx, l))
	}
	half, cancel := context.WithDeadline(ctx, end.Add(-time.Until(end)/2))
	defer cancel()
	err := c.end(l, f(half, l))
	if answered(err) || half.Err() == nil || ctx.Err() != nil {
		return err
	}
	c.replace(l, answers)
	return errSilent
}

// invokeFull makes the call within all of its time.
func (c *Conn) invokeFull(ctx context.Context, f func(context.Context, *link) error) error {
	l, _ := c.begin()
	return c.end(l, f(ctx, l))
}

func (c *Conn) begin() (*link, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link.pending++
	return c.link, c.link.answered
}

// end records the end of a call. A connection that was replaced is closed after its last
// call.
func (c *Conn) end(l *link, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.pending--
	if answered(err) {
		l.answered++
	}
	c.closeIfUnused(l)
	return err
}

// replace opens a new connection, unless another call has done so or was answered on the
// old one in the meantime.
func (c *Conn) replace(l *link, answers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != l || l.answered != answers {
		return
	}
	if g, err := c.open(); err == nil {
		c.link = &link{ClientConn: g}
		c.closeIfUnused(l)
	}
}

// closeIfUnused closes a connection that was replaced and has no calls in flight.
func (c *Conn) closeIfUnused(l *link) {
	if l != c.link && l.pending == 0 {
		l.closeAsync()
	}
}

func (c *Conn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.link.closeAsync()
}

// closeAsync closes the connection without waiting for it: gRPC sends a GOAWAY first, and
// tries to for seconds while nothing can be written to the connection.
func (l *link) closeAsync() {
	go func() { _ = l.Close() }()
}

// answered reports whether the error of a call shows that the peer answered it.
func answered(err error) bool {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Canceled, codes.Unavailable:
		return false
	default:
		return true
	}
}
