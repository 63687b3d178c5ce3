package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"amberway/config"
	"amberway/fleet"
)

// clientTimeout bounds one call of a Client.
const clientTimeout = 30 * time.Second

// APIError is an error answer of an entry host.
type APIError struct {
	Status int
	Failure
}

// Error returns the message of the entry host.
func (e *APIError) Error() string {
	return e.Failure.Error
}

// Client calls the operators' API of one entry host.
type Client struct {
	base   string
	token  string
	client *http.Client
}

// NewClient returns a client for the entry host at the URL.
func NewClient(base *url.URL, token string) *Client {
	return &Client{base: base.String(), token: token, client: &http.Client{Timeout: clientTimeout}}
}

// call sends a request with the body, if any, and decodes the answer into v.
func (c *Client) call(ctx context.Context, method, path string, body []byte, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return merry.Prepend(err, "admin: "+path)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	res, err := c.client.Do(req)
	if err != nil {
		return merry.Prepend(err, "admin: "+path)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		return json.NewDecoder(res.Body).Decode(v)
	}
	e := &APIError{Status: res.StatusCode}
	if err := json.NewDecoder(res.Body).Decode(&e.Failure); err != nil || e.Failure.Error == "" {
		e.Failure.Error = fmt.Sprintf("admin: %s: status %d", path, res.StatusCode)
	}
	return e
}

// get sends a request with the body, if any, and returns the decoded answer.
func get[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var v T
	err := c.call(ctx, method, path, body, &v)
	return v, err
}

// Status returns the state of the entry host.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Dump writes the whole state of the entry host as JSON.
func (c *Client) Dump(ctx context.Context, w io.Writer) error {
	var v json.RawMessage
	if err := c.call(ctx, http.MethodGet, "/v1/dump", nil, &v); err != nil {
		return err
	}
	_, err := w.Write(append(v, '\n'))
	return err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ActiveConfig, error) {
	return get[ActiveConfig](ctx, c, http.MethodGet, "/v1/config", nil)
}

// Apply puts a document in force as the generation after base.
func (c *Client) Apply(ctx context.Context, document []byte, base int64) (ApplyResult, error) {
	return get[ApplyResult](ctx, c, http.MethodPut, "/v1/config?base="+strconv.FormatInt(base, 10), document)
}

// Preview returns the effects that applying a document would have in the entry host's data
// centre.
func (c *Client) Preview(ctx context.Context, document []byte) (fleet.Preview, error) {
	return get[fleet.Preview](ctx, c, http.MethodPost, "/v1/config/preview", document)
}

// Jobs returns the jobs and their placement in the entry host's data centre.
func (c *Client) Jobs(ctx context.Context) ([]Job, error) {
	return get[[]Job](ctx, c, http.MethodGet, "/v1/jobs", nil)
}

// Pools returns the pools in the entry host's data centre.
func (c *Client) Pools(ctx context.Context) ([]Pool, error) {
	return get[[]Pool](ctx, c, http.MethodGet, "/v1/pools", nil)
}

// Hosts returns the hosts in the entry host's data centre.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	return get[[]Host](ctx, c, http.MethodGet, "/v1/hosts", nil)
}

// Hold drains a host and keeps it drained, or releases it.
func (c *Client) Hold(ctx context.Context, name string, held bool) error {
	b, err := json.Marshal(Change{Held: held})
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, "/v1/hosts/"+url.PathEscape(name), b, &struct{}{})
}

// Waves returns the progress of each wave in the entry host's data centre.
func (c *Client) Waves(ctx context.Context) ([]Wave, error) {
	return get[[]Wave](ctx, c, http.MethodGet, "/v1/waves", nil)
}

// SetWave sets a wave's state.
func (c *Client) SetWave(ctx context.Context, name string, s config.WaveState) (ApplyResult, error) {
	b, err := json.Marshal(Change{State: s})
	if err != nil {
		return ApplyResult{}, err
	}
	return get[ApplyResult](ctx, c, http.MethodPost, "/v1/waves/"+url.PathEscape(name), b)
}
