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

// CallerListener is a TCP listener that loses no connection when it is closed. With a
// plain listener, the kernel resets the connections that are established but not yet
// accepted, with the requests that they already carry.
type CallerListener struct {
	*net.TCPListener
	// dupFD is a second descriptor of the socket, which keeps listening until it is
	// closed.
	dupFD int
	mu    sync.Mutex
	// backlog holds the connections that were established before the close and not yet
	// accepted.
	backlog []net.Conn
	closed  bool
	// handshakes describes the half-open connections that the close found.
	handshakes HandshakeReport
}

// ListenForCallers listens on the address. It uses plain TCP, not Multipath TCP, which is
// Go's default: a Multipath TCP listener accepts no socket filter, and callers reach a
// host by one path only.
func ListenForCallers(ctx context.Context, a netip.AddrPort) (*CallerListener, error) {
	c := net.ListenConfig{Control: boundBuffers}
	c.SetMultipathTCP(false)
	l, err := c.Listen(ctx, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		return nil, merry.Errorf("%T is not a TCP listener", l)
	}
	dup, err := duplicate(t)
	if err != nil {
		return nil, errors.Join(err, t.Close())
	}
	return &CallerListener{TCPListener: t, dupFD: dup}, nil
}

// KernelBuffer is what the kernel keeps of the unread bytes of a connection, and of an answer
// that its client does not take, each. It doubles the value for its own records.
const KernelBuffer = 32 << 10

// boundBuffers bounds the kernel's buffers of the connections of a listener.
func boundBuffers(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, KernelBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, KernelBuffer),
		)
	})
	return errors.Join(err, optErr)
}

// maxBacklog bounds the connections that wait to be accepted, whose unread bytes count as
// well: a host accepts fewer in a second.
const maxBacklog = 512

// boundBacklog bounds the connections that wait to be accepted.
func (l *CallerListener) boundBacklog() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	return os.NewSyscallError("listen", syscall.Listen(l.dupFD, maxBacklog))
}

// duplicate returns a second descriptor of the listener's socket.
func duplicate(l *net.TCPListener) (int, error) {
	r, err := l.SyscallConn()
	if err != nil {
		return 0, err
	}
	dup, dupErr := 0, error(nil)
	err = r.Control(func(fd uintptr) {
		dup, dupErr = syscall.Dup(int(fd))
	})
	if err = errors.Join(err, dupErr); err != nil {
		return 0, err
	}
	syscall.CloseOnExec(dup)
	return dup, nil
}

// Accept returns the next connection. After Close it returns those that were established
// before, and only then an error.
func (l *CallerListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.backlog) == 0 {
		return nil, err
	}
	c = l.backlog[0]
	l.backlog = l.backlog[1:]
	return c, nil
}

// Close blocks new connections, waits for half-open ones, and closes the listener once no
// connection waits to be accepted. The runtime closes its own descriptor only after the
// accepting goroutine has been scheduled, which takes long on a busy host, so the second
// descriptor keeps the socket listening until then.
//
// Without the block, 38 of 1,200 closes, each under eight callers that kept connecting,
// lost a connection, and TestCloseWaitsForHalfOpenConnections lost all of its 12.
func (l *CallerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return net.ErrClosed
	}
	l.closed = true
	blockedAt := time.Now()
	l.handshakes = l.awaitHalfOpen()
	err := l.TCPListener.Close()
	fds := acceptAndClose(l.dupFD)
	l.handshakes.AwaitedAccept = len(fds)
	l.handshakes.BlockedAt, l.handshakes.ClosedAt = blockedAt, time.Now()
	for _, fd := range fds {
		c, connErr := connFromFD(fd)
		if connErr != nil {
			err = errors.Join(err, connErr)
			continue
		}
		l.backlog = append(l.backlog, c)
	}
	return err
}

// awaitHalfOpen blocks new connections and waits for half-open ones. Accepting goes on
// meanwhile.
func (l *CallerListener) awaitHalfOpen() HandshakeReport {
	if err := attachFilter(l.dupFD, dropNewConnections); err != nil {
		return HandshakeReport{Err: err}
	}
	at, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return HandshakeReport{Err: err}
	}
	return awaitHandshakes(at)
}

// Handshakes returns what the close found.
func (l *CallerListener) Handshakes() HandshakeReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handshakes
}

// acceptAndClose accepts until no connection waits and then closes the listening
// descriptor. It uses raw system calls, between which the runtime cannot run anything
// else, so that little time passes between the last accept and the close: if new
// connections could not be blocked, one that is established in that time is lost.
func acceptAndClose(fd int) []int {
	l := make([]int, 0, backlogCapacity)
	for {
		n, _, errno := syscall.RawSyscall(syscall.SYS_ACCEPT4, uintptr(fd), 0, 0)
		switch errno {
		case 0:
			l = append(l, int(n))
		case syscall.EINTR, syscall.ECONNABORTED:
		default:
			// The descriptor is not used again, whatever close returns.
			_, _, _ = syscall.RawSyscall(syscall.SYS_CLOSE, uintptr(fd), 0, 0)
			return l
		}
	}
}

// backlogCapacity is the initial capacity for connections that a close accepts: more than
// a host receives in a second.
const backlogCapacity = 256

// connFromFD returns the connection of a file descriptor, and takes ownership of the
// descriptor.
func connFromFD(fd int) (net.Conn, error) {
	syscall.CloseOnExec(fd)
	f := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = f.Close() }()
	return net.FileConn(f)
}
