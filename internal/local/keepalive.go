package local

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// KeepAliveConn is a caller's keep-alive connection to an entry host. Unlike the connections of
// http.Client, it is used even if the host has closed it in the meantime, which tests a request
// that is sent just as the host closes the connection.
type KeepAliveConn struct {
	net.Conn
	reader *bufio.Reader
}

// Answer is an answer with its whole body.
type Answer struct {
	Status int
	Body   string
	// Closes reports whether the host closes the connection after this answer.
	Closes bool
}

// DialKeepAlive opens a connection that can be used until the deadline.
func DialKeepAlive(addr netip.AddrPort, deadline time.Time) (*KeepAliveConn, error) {
	c, err := net.Dial("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &KeepAliveConn{Conn: c, reader: bufio.NewReader(c)}, c.SetDeadline(deadline)
}

// RoundTrip sends a request, which is given in its wire format, and reads the answer.
func (k *KeepAliveConn) RoundTrip(request string) (Answer, error) {
	if _, err := fmt.Fprint(k, request); err != nil {
		return Answer{}, err
	}
	res, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return Answer{}, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return Answer{Status: res.StatusCode, Body: string(b), Closes: res.Close}, err
}
