package fleet

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// delayedHeader marks an order that was delayed.
const delayedHeader = "Late"

// DelayRunOrders delays orders to start and to stop runs for the time d, at every second
// worker: from the first on if from is even, from the second on if it is odd. Such an order
// gets no answer, and is executed after the time that delay returns. delay must be safe for
// concurrent use. The workers still answer polls. It returns how many workers it affects.
func (f *Fleet) DelayRunOrders(from int, d time.Duration, delay func() time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for i, m := range f.machines {
		w := m.worker
		if w == nil || m.leaving || i%2 != from%2 {
			continue
		}
		n++
		w.setOrderDelay(delay)
		time.AfterFunc(d, func() { w.setOrderDelay(nil) })
	}
	return n
}

func (w *worker) setOrderDelay(delay func() time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orderDelay = delay
}

// intercept returns a handler that passes calls to h only if they are meant for this
// incarnation and the worker is not silent. Orders may be delayed.
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

// dropCall ends a call without an answer. If the worker is silent, it first waits until the
// caller gives up or the worker ends.
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

// drawOrderDelay returns how long an order that arrives now is delayed, and whether it is.
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

// executeDelayed makes h serve the order after the delay, and leaves the caller without an
// answer.
func (w *worker) executeDelayed(h http.Handler, r *http.Request, delay time.Duration) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.Clone(context.WithoutCancel(r.Context()))
	q.Body = io.NopCloser(bytes.NewReader(b))
	q.Header.Set(delayedHeader, "1")
	time.AfterFunc(delay, func() { h.ServeHTTP(&discardWriter{}, q) })
	select {
	case <-r.Context().Done():
	case <-w.listener.closed:
	}
	panic(http.ErrAbortHandler)
}
