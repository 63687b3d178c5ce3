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

// An entry host that cannot reach the store fetches the configuration from the owner:
// callers still reach the host, with keys that may have been revoked or added since. The
// configuration is as fresh as the owner's own last answer from the store, and the host
// counts its age from then.

// Parameters of fetching the configuration.
const (
	// configRetry is the pause between two requests: a configuration has to be in force
	// within two to three seconds, of which a failed watch may have taken most.
	configRetry = 250 * time.Millisecond
	// headerAge is the header that tells how long ago the configuration was last known to
	// be the newest, in milliseconds.
	headerAge = "Amberway-Age"
	// configPath is the path at which entry hosts serve the configuration to each other.
	configPath = "/configuration"
)

// peerConfig is the answer of another entry host to a request for the configuration.
type peerConfig struct {
	// raw is the configuration if it is newer than the requested version, else nil.
	raw []byte
	// currentAt is when the peer's configuration was last known to be the newest.
	currentAt time.Time
}

// errNoConfig reports that the entry host that was asked has not read a configuration yet.
var errNoConfig = errors.New("the owner has no configuration yet")

// followOwnerConfig fetches the owner's configuration whenever a request to the store for it
// has failed.
func (n *Node) followOwnerConfig(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.configMissed:
		}
		if err := n.fetchConfig(ctx); err != nil {
			n.log.Write(LogLine{What: "configuration not fetched", Why: err.Error(), Fields: []any{"age_ms", n.now().Sub(n.configCurrentAt.Get()).Milliseconds()}})
		}
		common.Sleep(ctx, configRetry)
	}
}

// fetchConfig applies the configuration that the owner has in force.
func (n *Node) fetchConfig(ctx context.Context) error {
	o, ok := n.election.otherOwner()
	if !ok {
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

// config asks another entry host for its configuration if that is newer than the version.
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

// serveConfig sends the configuration in force here to another entry host.
func (n *Node) serveConfig(w http.ResponseWriter, r *http.Request) {
	// The time is read before the configuration, so that the age is never understated.
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
	_, _ = w.Write(c.raw)
}
