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

// KeepAliveConn is a connection to an entry host that its caller keeps open. Unlike a client's, it is
// used whatever the host has done with it meanwhile, as by a caller whose request and the
// host's close cross each other.
type KeepAliveConn struct {
	net.Conn
	reader *bufio.Reader
}

// Answer is one that was read to its end.
type Answer struct {
	Status int
	Body   string
	// Closes says that the host closes the connection.
	Closes bool
}

// DialKeepAlive opens a connection that is used until a time.
func DialKeepAlive(at netip.AddrPort, until time.Time) (*KeepAliveConn, error) {
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		return nil, err
	}
	return &KeepAliveConn{Conn: c, reader: bufio.NewReader(c)}, c.SetDeadline(until)
}

// RoundTrip sends a request, given as it goes over the connection, and reads the answer.
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
