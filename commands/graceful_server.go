package commands

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"amberway/request"
)

// gracefulServer is a listener whose stop loses no request, with what serves it.
type gracefulServer struct {
	*request.CallerServer
	listener *request.CallerListener
}

// newGracefulServer listens at the address for the handler. Callers are told for how long idle
// connections are kept, and a stop waits for those that pause for longer.
func newGracefulServer(ctx context.Context, at netip.AddrPort, h http.Handler, keep, pause time.Duration) (gracefulServer, error) {
	l, err := request.ListenForCallers(ctx, at)
	if err != nil {
		return gracefulServer{}, err
	}
	return gracefulServer{request.NewCallerServer(h, keep, pause), l}, nil
}

// serve serves until the listener is closed.
func (s gracefulServer) serve() error {
	return s.Serve(s.listener)
}

// stop stops the side and returns what that met.
func (s gracefulServer) stop(ctx context.Context) (request.StopReport, error) {
	return s.Stop(ctx, s.listener)
}

// keepAliveTimeout returns for how long a stop keeps an idle connection open at least.
func (s Settings) keepAliveTimeout() time.Duration {
	return request.KeepAliveTimeout(s.StopDelay, s.StopWithin)
}
