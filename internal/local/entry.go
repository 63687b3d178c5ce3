package local

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"amberway/internal/standin/fleet"
)

// JobsEntry is an entry host that serves jobs.
type JobsEntry struct {
	// Process is replaced at each restart.
	*Process
	Name         string
	Callers      netip.AddrPort
	Peers        netip.AddrPort
	Readiness    netip.AddrPort
	settingsFile string
}

// Ready reports whether the entry host's readiness probe succeeds.
func (e *JobsEntry) Ready() bool {
	res, err := http.Get("http://" + e.Readiness.String() + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Call sends a request with the permanent key and returns the status and the body.
func (e *JobsEntry) Call(method, queue, id string, body any) (int, string, error) {
	return e.CallWithKey(permanentKey, method, queue, id, body)
}

// QueueLengthRequest returns an HTTP request for the number of waiting jobs of a queue, in its
// wire format.
func (e *JobsEntry) QueueLengthRequest(queue string) string {
	return fmt.Sprintf("GET %s%s/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", fleet.QueuePrefix, queue, fleet.JobsHost, permanentKey)
}

// CallWithKey is Call with another team key.
func (e *JobsEntry) CallWithKey(key, method, queue, id string, body any) (int, string, error) {
	req, err := e.newRequest(key, method, queue, id, body)
	if err != nil {
		return 0, "", err
	}
	c := http.Client{Timeout: 4 * time.Second}
	res, err := c.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	return res.StatusCode, string(out), err
}

func (e *JobsEntry) newRequest(key, method, queue, id string, body any) (*http.Request, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(method, "http://"+e.Callers.String()+fleet.QueuePrefix+queue+"/"+id, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Host = fleet.JobsHost
	req.Header.Set("Authorization", "Bearer "+key)
	return req, nil
}

// CallOnNewConnection is Call on a connection that is used for this request only. It also returns
// the headers of the answer.
func (e *JobsEntry) CallOnNewConnection(method, queue, id string, body any) (int, http.Header, string, error) {
	req, err := e.newRequest(permanentKey, method, queue, id, body)
	if err != nil {
		return 0, nil, "", err
	}
	c := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer res.Body.Close()
	out, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(out), err
}
