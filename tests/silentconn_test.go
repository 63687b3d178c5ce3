package tests

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"amberway/internal/local"
	"amberway/internal/soak"
)

// startJobsOverLinks runs six entry hosts that reach the platform by links, and
// returns the links.
func startJobsOverLinks(t *testing.T) (*local.JobsDeployment, []*soak.Link) {
	t.Helper()
	var links []*soak.Link
	j, err := local.StartJobsDeployment(binaries, t.TempDir(), local.JobsOptions{
		Entries: 6, Workers: map[string]int{"blue": 4, "green": 3}, SpareMachines: 2,
		ProxyAddress: func(_, address string) (string, error) {
			k, err := soak.NewLink(address)
			if err != nil {
				return "", err
			}
			t.Cleanup(k.Close)
			links = append(links, k)
			return k.Address(), nil
		},
	})
	t.Cleanup(j.Stop)
	require.NoError(t, err)
	return j, links
}

// TestConfigurationIsInForceInTimeAfterConnectionsFellSilent has all open
// connections to the platform fall silent for good and changes the configuration at
// once, three times, so that connections that were kept idle are silent as well.
func TestConfigurationIsInForceInTimeAfterConnectionsFellSilent(t *testing.T) {
	for name, oneWay := range map[string]bool{"both ways": false, "one way": true} {
		t.Run(name, func(t *testing.T) {
			j, links := startJobsOverLinks(t)
			for _, queues := range [][]string{{"violet"}, nil, {"violet"}} {
				for _, k := range links {
					k.Silence(oneWay)
				}
				require.NoError(t, j.Configure(queues...))
				accepted := time.Now()
				var wg sync.WaitGroup
				for _, e := range j.Entries {
					wg.Go(func() {
						took := waitConfig(t, e, len(queues) > 0, accepted)
						t.Logf("%s has it after %s", e.Name, took.Round(10*time.Millisecond))
						if took > configTimeout {
							t.Errorf("%s has the configuration only after %s", e.Name, took)
						}
					})
				}
				wg.Wait()
				time.Sleep(time.Second)
			}
		})
	}
}

// configTimeout is when a configuration has to be in force that is accepted as
// connections fall silent: it has two seconds at entry hosts in touch, and they are
// that once their connections have been good for three.
const configTimeout = 3 * time.Second

// waitConfig returns how long after its acceptance the entry host has the
// configuration, by whether it knows the queue violet.
func waitConfig(t *testing.T, e *local.JobsEntry, there bool, accepted time.Time) time.Duration {
	for time.Since(accepted) < waitTimeout {
		sent := time.Since(accepted)
		if known, ok := hasQueue(t, e); ok && known == there {
			return sent
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(accepted)
}

// hasQueue reports whether the entry host knows the queue violet, if it says so. It
// tells a queue that it does not know from an id that is none.
func hasQueue(t *testing.T, e *local.JobsEntry) (known, ok bool) {
	a := jobState(t, e, "violet", "none")
	return !strings.Contains(a, "no such queue"), strings.HasPrefix(a, "404 ")
}
