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

// startJobsOverLinks starts six entry hosts that reach the platform over links, and returns
// the links.
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

// TestConfigurationIsInForceInTimeAfterConnectionsFellSilent silences all open connections to
// the platform for good and immediately changes the configuration. It does so three times, so
// that idle connections in the clients' pools are silenced as well.
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

// configTimeout is how long a configuration that is accepted just after connections were
// silenced may take to be in force. Connected entry hosts have to apply it within two seconds, and
// they count as connected once their connections have worked for three seconds.
const configTimeout = 3 * time.Second

// waitConfig waits until the entry host has the configuration, which shows by whether it knows
// the queue violet, and returns how long after its acceptance that was.
func waitConfig(t *testing.T, e *local.JobsEntry, hasViolet bool, accepted time.Time) time.Duration {
	for time.Since(accepted) < waitTimeout {
		sent := time.Since(accepted)
		if known, ok := hasQueue(t, e); ok && known == hasViolet {
			return sent
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(accepted)
}

// hasQueue reports whether the entry host knows the queue violet. It asks for an invalid job
// id, which is answered with status 404 in both cases, but with different reasons. ok is false
// without such an answer.
func hasQueue(t *testing.T, e *local.JobsEntry) (known, ok bool) {
	s := jobState(t, e, "violet", "none")
	return !strings.Contains(s, "no such queue"), strings.HasPrefix(s, "404 ")
}
