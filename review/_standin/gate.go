package main

import (
	"context"
	"net/http"
	"sync"
)

// gate stands before the store. While it is shut, all calls are refused, and the watches that wait are cut.
type gate struct {
	handler http.Handler
	mu      sync.Mutex
	// shut is canceled when the gate is shut. It is nil while it stays shut.
	shut   context.Context
	cancel context.CancelFunc
}

func newGate(h http.Handler) *gate {
	g := &gate{handler: h}
	g.open()
	return g
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut, g.cancel = context.WithCancel(context.Background())
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancel()
	g.shut = nil
}

// ServeHTTP passes a call on, or refuses it.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	if shut == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(shut, cancel)()
	g.handler.ServeHTTP(w, r.WithContext(ctx))
	if shut.Err() != nil && r.Method == http.MethodGet {
		panic(http.ErrAbortHandler)
	}
}
