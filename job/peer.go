package job

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"amberway/common"
	"amberway/platform"
)

// Timeouts of requests between entry hosts.
const (
	// peerTimeout bounds one query. Entry hosts are a millisecond apart. A kept-alive
	// connection has half of it, and a new one the rest.
	peerTimeout = 400 * time.Millisecond
	// relayTimeout bounds the acceptance or cancelling of a job through another entry host,
	// which writes to the store.
	relayTimeout = 1200 * time.Millisecond
)

// errNotOwner reports that the entry host that was asked is not the owner.
var errNotOwner = errors.New("entry host is not the owner")

// peerConns is the most idle connections kept to one entry host.
const peerConns = 4

// peers is a client for requests to other entry hosts.
type peers struct {
	client common.HTTPClient
}

func newPeers() *peers {
	return &peers{client: common.NewHTTPClient(common.Limits{MaxIdlePerAddress: peerConns})}
}

// ask sends one query to the owner, and repeats it on a new connection if a kept-alive one
// is silent.
func (p *peers) ask(ctx context.Context, o Owner, path string) (common.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	q := common.Request{Method: http.MethodGet, Address: o.Peer, Path: path}
	return p.client.CallIdempotent(ctx, q, q)
}

// state asks the owner for a job's state.
func (p *peers) state(ctx context.Context, o Owner, id ID) (platform.JobState, bool, error) {
	r, err := p.ask(ctx, o, "/jobs/"+string(id))
	switch {
	case err != nil:
		return "", false, err
	case r.Status == http.StatusOK:
		return platform.JobState(r.Body), true, nil
	case r.Status == http.StatusNotFound:
		return "", false, nil
	}
	return "", false, errNotOwner
}

// waiting asks the owner how many jobs of a queue have not started.
func (p *peers) waiting(ctx context.Context, o Owner, queue string) (int, error) {
	r, err := p.ask(ctx, o, "/queues?name="+url.QueryEscape(queue))
	if err != nil {
		return 0, err
	}
	if r.Status != http.StatusOK {
		return 0, errNotOwner
	}
	return strconv.Atoi(string(r.Body))
}

// accept has another entry host accept a job.
func (p *peers) accept(ctx context.Context, at netip.AddrPort, id ID, r Record) (common.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	a, err := p.client.Call(ctx, common.Request{Method: http.MethodPost, Address: at, Path: "/jobs/" + string(id), Body: r})
	switch {
	case errors.Is(err, common.ErrNotSent):
		return common.NotRun, err
	case err != nil:
		return common.MayHaveRun, err
	case a.Status != http.StatusOK:
		return common.NotRun, fmt.Errorf("status %d", a.Status)
	}
	return common.ParseVerdict(string(a.Body))
}

// cancel has another entry host cancel a job. It reports whether the job is known.
func (p *peers) cancel(ctx context.Context, at netip.AddrPort, id ID) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	r, err := p.client.Call(ctx, common.Request{Method: http.MethodDelete, Address: at, Path: "/jobs/" + string(id)})
	switch {
	case err != nil:
		return false, err
	case r.Status == http.StatusOK:
		return true, nil
	case r.Status == http.StatusNotFound:
		return false, nil
	}
	return false, platform.ErrRefused
}

// peerMux returns the handler of requests from other entry hosts.
func (n *Node) peerMux() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /jobs/{id}", n.serveState)
	m.HandleFunc("POST /jobs/{id}", n.serveAccept)
	m.HandleFunc("DELETE /jobs/{id}", n.serveCancel)
	m.HandleFunc("GET /queues", n.serveWaiting)
	m.HandleFunc("GET "+configPath, n.serveConfig)
	m.HandleFunc("GET /overview", n.serveOverview)
	m.HandleFunc("GET /explain/{id}", n.serveExplain)
	m.HandleFunc("GET /refused/{id}", n.serveRefusal)
	m.Handle("GET /metrics", n.metricsHandler)
	return m
}

func (n *Node) serveState(w http.ResponseWriter, r *http.Request) {
	s, known, owns := n.localState(ID(r.PathValue("id")))
	switch {
	case !owns:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case !known:
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = io.WriteString(w, string(s)) //nolint:gosec // one of the fixed states, between entry hosts
	}
}

func (n *Node) serveWaiting(w http.ResponseWriter, r *http.Request) {
	c, owns := n.localWaiting(r.URL.Query().Get("name"))
	if !owns {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.WriteString(w, strconv.Itoa(c))
}

func (n *Node) serveAccept(w http.ResponseWriter, r *http.Request) {
	deadline := n.now().Add(relayTimeout - answerMargin)
	if l, ok := r.Body.(common.DeadlineReader); ok {
		l.ReadBy(deadline)
	}
	id, ok := ParseID(r.PathValue("id"))
	rec, err := n.relayedRecord(w, r)
	if why := unreadWhy(err); why != "" {
		callerHandler{node: n}.refuse(w, why)
		return
	}
	if !ok || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v, err := n.intake.accept(r.Context(), id, rec, deadline)
	if err != nil {
		n.log.Write(LogLine{What: "relayed job not accepted", Job: id, Why: err.Error()})
	}
	_, _ = io.WriteString(w, v.String()) //nolint:gosec // one of the names of verdicts
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
