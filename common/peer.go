package common

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Peer identifies the process at the other end of a connection. That process stays the same while
// the connection is open, even if another one listens at the address by now. Zero is an unknown
// peer.
type Peer int64

// ErrOtherPeer says that another process than the intended one has answered, so that the call was
// not sent.
var ErrOtherPeer = errors.New("another process answers")

// Handshake is a call whose answer tells which process has given it.
type Handshake struct {
	// Request is the call, which may be carried out twice.
	Request
	// PeerOf returns the process that has given the answer. After an error no other call follows.
	PeerOf func(Reply) (Peer, error)
}

// CallPeer makes a call that no process but p can carry out, not even if it arrives late: it is sent
// on a connection on which p has answered before. If none is idle, the handshake is made first,
// within half of the time that the context leaves, and the call follows on the same connection. The
// error is ErrNotSent if the handshake fails, ErrOtherPeer if another process answers it, and
// the error of PeerOf if that returns one. In all three cases the call was not sent. Connections
// must not be encrypted.
func (h HTTPClient) CallPeer(ctx context.Context, q Request, p Peer, s Handshake) (Reply, error) {
	address, plain := q.plainAddress()
	if !plain {
		return Reply{}, fmt.Errorf("%w: %s: peers of encrypted connections are not known", ErrNotSent, q.Path)
	}
	q.on = h.plain.pool.take(address, p.is, time.Now())
	if q.on == nil {
		var err error
		if q.on, err = h.handshake(ctx, p, s); err != nil {
			return Reply{}, err
		}
	}
	return h.Call(ctx, q)
}

// handshake returns a connection on which p has answered.
func (h HTTPClient) handshake(ctx context.Context, p Peer, s Handshake) (*pooledConn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-time.Until(deadline)/2))
		defer cancel()
	}
	s.reserves = true
	r, err := h.CallIdempotent(ctx, s.Request, s.Request)
	if err != nil {
		return nil, notSent(err)
	}
	if err := r.checkPeer(p, s); err != nil {
		if r.reusable {
			h.plain.pool.put(r.conn, time.Now(), reuseTimeout(r.Header))
		}
		return nil, notSent(err)
	}
	if !r.reusable {
		return nil, fmt.Errorf("%w: %s: the connection was closed after the answer", ErrNotSent, s.Path)
	}
	return r.conn, nil
}

// notSent returns the error of a call whose handshake has failed. It is not unknown whether the
// call was carried out, even if that is unknown of the handshake.
func notSent(err error) error {
	if errors.Is(err, ErrUnknownOutcome) {
		return fmt.Errorf("%w: %s", ErrNotSent, err.Error())
	}
	return err
}

// checkPeer records which process has answered the handshake, and returns an error unless it is p.
func (r Reply) checkPeer(p Peer, s Handshake) error {
	other, err := s.PeerOf(r)
	if err != nil {
		return err
	}
	r.SetPeer(other)
	if other != p {
		return ErrOtherPeer
	}
	return nil
}

// SetPeer records which process has given the answer. It returns the one that was known at the other
// end of the connection before.
func (r Reply) SetPeer(p Peer) Peer {
	if r.conn == nil {
		return 0
	}
	return Peer(r.conn.peer.Swap(int64(p)))
}

// is reports whether the process at the other end of the connection is p.
func (p Peer) is(conn *pooledConn) bool {
	return Peer(conn.peer.Load()) == p
}

// anyPeer accepts all connections.
func anyPeer(*pooledConn) bool {
	return true
}
