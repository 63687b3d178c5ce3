package peers

import (
	"context"
	"crypto/subtle"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"
)

// tokenKey is the metadata key of the token that entry hosts share.
const tokenKey = "amberway-peer-token"

// Limits of a connection between entry hosts.
const (
	dialTimeout    = 500 * time.Millisecond
	maxRedialDelay = time.Second
	// keepaliveTime is the time between pings, which end a connection to a host that is
	// gone while no call is made; gRPC allows no less. Calls detect silence sooner.
	keepaliveTime = 10 * time.Second
	// bufferBytes is the size of each buffer of a connection. Messages are
	// small, and each process holds a connection to every other.
	bufferBytes = 2 << 10
	// handshakeTimeout bounds the time until a new connection speaks HTTP/2.
	handshakeTimeout = 5 * time.Second
	// maxStreams bounds the calls at once on a connection, and maxHeaderBytes the headers
	// of each.
	maxStreams, maxHeaderBytes = 1000, 16 << 10
)

// Dialer holds one Conn per peer.
type Dialer struct {
	token string
	mu    sync.Mutex
	conns map[netip.AddrPort]*Conn
}

// NewDialer returns a dialer that sends the token with each call.
func NewDialer(token string) *Dialer {
	return &Dialer{token: token, conns: map[netip.AddrPort]*Conn{}}
}

// Conn returns the connection to the peer at the address. It is opened on first use.
func (d *Dialer) Conn(a netip.AddrPort) (*Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.conns[a]; ok {
		return c, nil
	}
	c, err := newConn(func() (*grpc.ClientConn, error) { return d.open(a) })
	if err != nil {
		return nil, err
	}
	d.conns[a] = c
	return c, nil
}

func (d *Dialer) open(a netip.AddrPort) (*grpc.ClientConn, error) {
	b := backoff.DefaultConfig
	b.BaseDelay = 100 * time.Millisecond
	b.MaxDelay = maxRedialDelay
	return grpc.NewClient("passthrough:///"+a.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: dialTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: time.Second}),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithUnaryInterceptor(d.addToken),
	)
}

// CloseOthers closes the connections to all addresses that are not in keep.
func (d *Dialer) CloseOthers(keep map[netip.AddrPort]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, c := range d.conns {
		if !keep[a] {
			c.close()
			delete(d.conns, a)
		}
	}
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.CloseOthers(nil)
}

func (d *Dialer) addToken(ctx context.Context, method string, req, reply any, c *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	ctx = metadata.AppendToOutgoingContext(ctx, tokenKey, d.token)
	return invoke(ctx, method, req, reply, c, opts...)
}

// NewServer returns a server that refuses callers without the token, before it reads their
// messages.
func NewServer(token string) *grpc.Server {
	check := func(ctx context.Context, i *tap.Info) (context.Context, error) {
		v := i.Header.Get(tokenKey)
		if len(v) != 1 || subtle.ConstantTimeCompare([]byte(v[0]), []byte(token)) != 1 {
			return nil, status.Error(codes.Unauthenticated, "peers: wrong token")
		}
		markAuthorized(ctx)
		return ctx, nil
	}
	return grpc.NewServer(
		grpc.InTapHandle(check),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
	)
}
