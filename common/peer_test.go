package common

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// identifyingServer is process 7. It answers with that number, and records which connections
// carried which calls.
type identifyingServer struct {
	*httptest.Server
	mu sync.Mutex
	// who serves "/who" in place of the number if it is set.
	who http.HandlerFunc
	// calls are the paths by connection.
	calls map[string][]string
}

func newIdentifyingServer(t *testing.T) *identifyingServer {
	s := &identifyingServer{calls: map[string][]string{}}
	s.Server = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.RemoteAddr] = append(s.calls[r.RemoteAddr], r.URL.Path)
		who := s.who
		s.mu.Unlock()
		if r.URL.Path == "/who" && who != nil {
			who(rw, r)
			return
		}
		_, _ = rw.Write([]byte("7"))
	}))
	t.Cleanup(s.Close)
	t.Cleanup(s.CloseClientConnections)
	return s
}

func (s *identifyingServer) request(path string) Request {
	return Request{Method: http.MethodPost, Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), Path: path}
}

// callPeer makes a call that only the process p may receive.
func (s *identifyingServer) callPeer(t *testing.T, h HTTPClient, p Peer) error {
	ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
	defer cancel()
	_, err := h.CallPeer(ctx, s.request("/call"), p, Handshake{Request: s.request("/who"), PeerOf: func(r Reply) (Peer, error) {
		n, err := strconv.ParseInt(string(r.Body), 10, 64)
		if err != nil {
			return 0, errors.Join(ErrUnknownOutcome, err)
		}
		return Peer(n), nil
	}})
	return err
}

// requireCalls requires that the calls have come on as many connections as given.
func (s *identifyingServer) requireCalls(t *testing.T, byConnection ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var got []string
	for _, l := range s.calls {
		got = append(got, strings.Join(l, " "))
	}
	require.ElementsMatch(t, byConnection, got)
}

func TestCallFollowsTheHandshakeOnItsConnection(t *testing.T) {
	s, h := newIdentifyingServer(t), NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	require.NoError(t, s.callPeer(t, h, 7))
	require.NoError(t, s.callPeer(t, h, 7))
	s.requireCalls(t, "/who /call /call")
}

func TestHandshakeUsesAnIdleConnectionOfUnknownPeer(t *testing.T) {
	s, h := newIdentifyingServer(t), NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	_, err := h.Call(t.Context(), s.request("/other"))
	require.NoError(t, err)
	require.NoError(t, s.callPeer(t, h, 7))
	s.requireCalls(t, "/other /who /call")
}

func TestCallIsNotSentToAnotherPeer(t *testing.T) {
	s, h := newIdentifyingServer(t), NewHTTPClient(Limits{MaxIdlePerAddress: 2})
	require.ErrorIs(t, s.callPeer(t, h, 6), ErrOtherPeer)
	require.NoError(t, s.callPeer(t, h, 7), "the connection is known to reach 7")
	require.ErrorIs(t, s.callPeer(t, h, 6), ErrOtherPeer, "a new connection may reach 6")
	s.requireCalls(t, "/who /call", "/who")
}

// However a handshake fails, the call was not sent: its outcome is not unknown.
func TestCallIsNotSentWithoutHandshake(t *testing.T) {
	for name, who := range map[string]http.HandlerFunc{
		"no answer":                    func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"reset":                        func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"an answer that tells nothing": func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("?")) },
		"a connection that is closed": func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set("Connection", "close")
			_, _ = rw.Write([]byte("7"))
		},
		"an answer in the last moments": func(rw http.ResponseWriter, _ *http.Request) {
			time.Sleep(600 * time.Millisecond)
			_, _ = rw.Write([]byte("7"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, h := newIdentifyingServer(t), NewHTTPClient(Limits{MaxIdlePerAddress: 2})
			s.who = who
			err := s.callPeer(t, h, 7)
			require.ErrorIs(t, err, ErrNotSent)
			require.NotErrorIs(t, err, ErrUnknownOutcome)
			s.mu.Lock()
			s.who = nil
			s.mu.Unlock()
			require.NoError(t, s.callPeer(t, h, 7))
		})
	}
}

func TestEncryptedCallToAPeerIsNotSent(t *testing.T) {
	h := NewHTTPClient(Limits{})
	_, err := h.CallPeer(t.Context(), Request{BaseURL: "https://127.0.0.1:1"}, 7, Handshake{})
	require.ErrorIs(t, err, ErrNotSent)
}
