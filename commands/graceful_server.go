package commands

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"amberway/request"
)

// gracefulServer is an HTTP server and its listener, whose stop loses no request.
type gracefulServer struct {
	*request.CallerServer
	listener *request.CallerListener
}

// newGracefulServer listens at the address for the handler. Answers announce to callers
// that they may use an idle connection for keepAlive. During a stop, an idle connection
// stays open until both the grace period of the stop and keepAlive since its last answer
// have passed. Requests and connections are kept within the limits.
func newGracefulServer(ctx context.Context, at netip.AddrPort, h http.Handler, keepAlive, grace time.Duration, limits request.Limits) (gracefulServer, error) {
	l, err := request.ListenForCallers(ctx, at)
	if err != nil {
		return gracefulServer{}, err
	}
	return gracefulServer{request.NewCallerServer(h, keepAlive, grace, limits), l}, nil
}

// serve serves until the listener is closed.
func (s gracefulServer) serve() error {
	return s.Serve(s.listener)
}

// stop stops the server and returns the report of its stop.
func (s gracefulServer) stop(ctx context.Context) (request.StopReport, error) {
	return s.Stop(ctx, s.listener)
}

// keepAliveTimeout returns the minimum time that an idle connection stays open during a stop.
func (s Settings) keepAliveTimeout() time.Duration {
	return request.KeepAliveTimeout(s.StopDelay, s.StopWithin)
}
