package request

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// CallerListener is a TCP listener whose close loses no connection: those that
// the kernel has set up and nobody has accepted would be reset, with the
// requests that are on them already.
type CallerListener struct {
	*net.TCPListener
	// accepting is held while a connection is waited for.
	accepting sync.Mutex
	mu        sync.Mutex
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
	c, err := l.accept()
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

func (l *CallerListener) accept() (net.Conn, error) {
	l.accepting.Lock()
	defer l.accepting.Unlock()
	return l.TCPListener.Accept()
}

// setUpWithin is how long connections that are being set up may take for it:
// several round trips within a data centre.
const setUpWithin = 20 * time.Millisecond

// Close has the kernel set up no more connections, takes those that are set up
// off it and closes the listener. A caller that connects meanwhile is refused
// when it tries again after a second, and goes elsewhere. The goroutine that accepts is got out of its wait before:
// the kernel closes a listener only once nobody uses it, and on a busy host that
// goroutine may run much later.
func (l *CallerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.SetDeadline(past); err != nil {
		return err
	}
	l.accepting.Lock()
	defer l.accepting.Unlock()
	r, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var dropped error
	err = r.Control(func(fd uintptr) {
		dropped = dropSYN(int(fd))
		time.Sleep(setUpWithin)
		l.left = append(l.left, acceptAll(int(fd))...)
	})
	return errors.Join(err, dropped, l.TCPListener.Close())
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

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
