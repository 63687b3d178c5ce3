package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Times of questions between entry hosts.
const (
	// peerTimeout bounds one question. Entry hosts are a millisecond apart.
	peerTimeout = 400 * time.Millisecond
	// relayTimeout bounds the intake of a job through another entry host, which
	// writes to the store.
	relayTimeout = 1200 * time.Millisecond
)

// errNotOwner says that the entry host that was asked does not own.
var errNotOwner = errors.New("entry host is not the owner")

// peers asks other entry hosts.
type peers struct {
	client *http.Client
}

func newPeers() *peers {
	d := &net.Dialer{Timeout: peerTimeout, KeepAlive: -1}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second, DisableCompression: true}
	return &peers{client: &http.Client{Transport: t}}
}

func (p *peers) call(ctx context.Context, method string, at netip.AddrPort, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	res, err := p.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, 64<<10))
	return res.StatusCode, b, err
}

// state asks the owner for a job's state.
func (p *peers) state(ctx context.Context, o Owner, id ID) (platform.State, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	status, b, err := p.call(ctx, http.MethodGet, o.Peer, "/jobs/"+string(id), nil)
	switch {
	case err != nil:
		return "", false, err
	case status == http.StatusOK:
		return platform.State(b), true, nil
	case status == http.StatusNotFound:
		return "", false, nil
	}
	return "", false, errNotOwner
}

// waiting asks the owner how many jobs of a queue wait.
func (p *peers) waiting(ctx context.Context, o Owner, queue string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	status, b, err := p.call(ctx, http.MethodGet, o.Peer, "/queues?name="+url.QueryEscape(queue), nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errNotOwner
	}
	return strconv.Atoi(string(b))
}

// accept has another entry host take in a job.
func (p *peers) accept(ctx context.Context, at netip.AddrPort, id ID, r Record) (common.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	b, err := json.Marshal(r)
	if err != nil {
		return common.NotRun, err
	}
	status, out, err := p.call(ctx, http.MethodPost, at, "/jobs/"+string(id), b)
	if err != nil {
		return common.MayHaveRun, err
	}
	if status != http.StatusOK {
		return common.NotRun, fmt.Errorf("status %d", status)
	}
	return common.ParseVerdict(string(out))
}

// cancel has another entry host cancel a job.
func (p *peers) cancel(ctx context.Context, at netip.AddrPort, id ID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	status, _, err := p.call(ctx, http.MethodDelete, at, "/jobs/"+string(id), nil)
	switch {
	case err != nil:
		return false, fmt.Errorf("%w: %w", platform.ErrUnknown, err)
	case status == http.StatusOK:
		return true, nil
	case status == http.StatusNotFound:
		return false, nil
	}
	return false, platform.ErrRefused
}

// peerMux serves the questions of other entry hosts.
func (n *Node) peerMux() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /jobs/{id}", n.serveState)
	m.HandleFunc("POST /jobs/{id}", n.serveAccept)
	m.HandleFunc("DELETE /jobs/{id}", n.serveCancel)
	m.HandleFunc("GET /queues", n.serveWaiting)
	return m
}

func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	s, known, owns := n.ownState(ID(r.PathValue("id")))
	switch {
	case !owns:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = io.WriteString(w, string(s))
	}
}

func (n *Node) serveWaiting(w http.ResponseWriter, r *http.Request) {
	c, owns := n.ownWaiting(r.URL.Query().Get("name"))
	if !owns {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.WriteString(w, strconv.Itoa(c))
}

func (n *Node) serveAccept(w http.ResponseWriter, r *http.Request) {
	id, ok := ParseID(r.PathValue("id"))
	var rec Record
	err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&rec)
	if !ok || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v, err := n.intake.accept(r.Context(), id, rec, n.now().Add(relayTimeout-answerMargin))
	if err != nil {
		n.log.Write(Note{What: "relayed job not taken", Job: id, Why: err.Error()})
	}
	_, _ = io.WriteString(w, v.String())
}

func (n *Node) serveCancel(w http.ResponseWriter, r *http.Request) {
	known, err := n.cancelHere(r.Context(), ID(r.PathValue("id")))
	switch {
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !known:
		w.WriteHeader(http.StatusNotFound)
	}
}
