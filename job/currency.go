package job

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"amberway/common"
)

// An entry host that the store turns away asks the owner for the configuration: its
// callers still reach it, with keys that may have been taken away and with new ones. What
// the owner knows is as old as its own last word from the store, and counts as old here.

// Figures of asking for the configuration.
const (
	// configRetry is the pause between two questions: a configuration has to be in force
	// within two to three seconds, of which a failed watch may have taken most.
	configRetry = 250 * time.Millisecond
	// headerAge tells how long ago the configuration was last known to be the newest, in
	// milliseconds.
	headerAge = "Amberway-Age"
	// configPath is where entry hosts tell each other of the configuration.
	configPath = "/configuration"
)

// peerConfig is what another entry host knows of the configuration.
type peerConfig struct {
	// raw is the configuration where it is newer than the one asked about, else nil.
	raw []byte
	// currentAt is when it was last known to be the newest.
	currentAt time.Time
}

// errNoConfig says that an entry host has had no word from the store yet.
var errNoConfig = errors.New("the entry host does not know the configuration either")

// followOwnerConfig asks the owner for the configuration whenever the store has not told of it.
func (n *Node) followOwnerConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.configMissed:
		}
		if err := n.fetchConfig(ctx); err != nil {
			n.log.Write(LogLine{What: "configuration not heard of", Why: err.Error(), Fields: []any{"age_ms", n.now().Sub(n.configCurrentAt.Get()).Milliseconds()}})
		}
		common.Sleep(ctx, configRetry)
	}
}

// fetchConfig takes the configuration that the owner has in force.
func (n *Node) fetchConfig(ctx context.Context) error {
	o := n.election.owner()
	if o.Name == "" || o.Name == n.settings.Name {
		return errNotOwner
	}
	version := int64(0)
	if r := n.routes.Load(); r != nil {
		version = r.config.Version
	}
	c, err := n.peers.config(ctx, o, version, n.now)
	if err != nil {
		return err
	}
	if c.raw != nil {
		n.applyConfig(c.raw)
	}
	n.configCurrentAt.Advance(c.currentAt)
	return nil
}

// config asks another entry host for the configuration, if it is newer than the version.
func (p *peers) config(ctx context.Context, o Owner, version int64, now func() time.Time) (peerConfig, error) {
	sent := now()
	r, err := p.ask(ctx, o, fmt.Sprint(configPath, "?after=", version))
	if err != nil {
		return peerConfig{}, err
	}
	if r.Status != http.StatusOK && r.Status != http.StatusNoContent {
		return peerConfig{}, errNoConfig
	}
	age, err := strconv.ParseInt(r.Header.Get(headerAge), 10, 64)
	if err != nil {
		return peerConfig{}, fmt.Errorf("job: age of the configuration: %w", err)
	}
	c := peerConfig{currentAt: sent.Add(-time.Duration(age) * time.Millisecond)}
	if r.Status == http.StatusOK {
		c.raw = r.Body
	}
	return c, nil
}

// serveConfig tells another entry host of the configuration in force here.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	// The time goes before the configuration: what is told is no older than it says.
	currentAt := n.configCurrentAt.Get()
	c := n.routes.Load()
	if c == nil || currentAt.IsZero() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerAge, strconv.FormatInt(n.now().Sub(currentAt).Milliseconds()+1, 10))
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err == nil && c.config.Version <= after {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = w.Write(c.written)
}
