package request

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
)

// CallerListener is a TCP listener whose close loses no connection: those that
// the kernel has set up and nobody has accepted would be reset, with the
// requests that are on them already.
type CallerListener struct {
	*net.TCPListener
	mu sync.Mutex
	// left are the connections that were set up before the close.
	left []net.Conn
}

// ListenForCallers listens at the address.
func ListenForCallers(ctx context.Context, a netip.AddrPort) (*CallerListener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, merry.Errorf("%T is no TCP listener", l)
	}
	return &CallerListener{TCPListener: t}, nil
}

// Accept returns the next connection. After the close it returns those that were
// set up before, and only then an error.
func (l *CallerListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.left) == 0 {
		return nil, err
	}
	c = l.left[0]
	l.left = l.left[1:]
	return c, nil
}

// Close takes the connections that are set up off the kernel and closes the
// listener right after.
func (l *CallerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, err := l.SyscallConn()
	if err != nil {
		return err
	}
	err = r.Control(func(fd uintptr) { l.left = append(l.left, acceptAll(int(fd))...) })
	return errors.Join(err, l.TCPListener.Close())
}

// acceptAll accepts until no connection waits.
func acceptAll(fd int) []net.Conn {
	var l []net.Conn
	for {
		n, _, err := syscall.Accept(fd)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		if err != nil {
			return l
		}
		if c, err := connOf(n); err == nil {
			l = append(l, c)
		}
	}
}

// connOf returns the connection of a file descriptor, which it takes over.
func connOf(fd int) (net.Conn, error) {
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = f.Close() }()
	return net.FileConn(f)
}
