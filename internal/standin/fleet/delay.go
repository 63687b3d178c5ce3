package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// lateHeader marks an order that is carried out late.
const lateHeader = "Late"

// DelayRunOrders has every second worker, from the first or the second on, leave orders
// to start and to stop without an answer for a time, and carry each out late by
// what late returns, which has to bear being called from several at once. They
// answer looks. It returns how many workers those are.
func (f *Fleet) DelayRunOrders(from int, d time.Duration, late func() time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for i, m := range f.machines {
		w := m.worker
		if w == nil || m.leaving || i%2 != from%2 {
			continue
		}
		n++
		w.setOrderDelay(late)
		time.AfterFunc(d, func() { w.setOrderDelay(nil) })
	}
	return n
}

func (w *worker) setOrderDelay(late func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderDelay = late
}

// intercept answers only calls that mean this life, and none while it is silent.
// Orders may be carried out late.
func (w *worker) intercept(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if silent {
			w.dropCall(r)
		}
		if x := r.Header.Get("Amberway-Expect-Instance"); x != "" && x != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if d, ok := w.drawOrderDelay(r); ok {
			w.executeDelayed(h, r, d)
			return
		}
		h.ServeHTTP(rw, r)
	})
}

// dropCall ends a call without an answer: when the caller gives up or the worker ends,
// if the worker is silent, else at once.
func (w *worker) dropCall(r *http.Request) {
	w.mu.Lock()
	silent := w.silent
	w.mu.Unlock()
	if silent {
		select {
		case <-r.Context().Done():
		case <-w.listener.closed:
		}
	}
	panic(http.ErrAbortHandler)
}

// drawOrderDelay returns by how much an order that comes now is late, if it is.
func (w *worker) drawOrderDelay(r *http.Request) (time.Duration, bool) {
	if r.URL.Path != "/run-start" && r.URL.Path != "/run-stop" {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.orderDelay == nil {
		return 0, false
	}
	return w.orderDelay(), true
}

// executeDelayed has h serve the order after a time, and leaves the caller without
// an answer.
func (w *worker) executeDelayed(h http.Handler, r *http.Request, after time.Duration) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.Clone(context.WithoutCancel(r.Context()))
	q.Body = io.NopCloser(bytes.NewReader(b))
	q.Header.Set(lateHeader, "1")
	time.AfterFunc(after, func() { h.ServeHTTP(&discardWriter{}, q) })
	select {
	case <-r.Context().Done():
	case <-w.listener.closed:
	}
	panic(http.ErrAbortHandler)
}
