// Package platform is the adapter to the users' platform: its log and its list
// of instances, over HTTP with JSON. To support another platform, replace this
// file.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/troutmast/troutmast/coordination/statelog"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/state"
)

// ErrPlatform means that the platform could not be reached or sent an unusable response.
var ErrPlatform = errors.New("platform: no usable response")

// maxResponseBytes is the maximum size of a response from the platform.
const maxResponseBytes = 64 << 20

// Instance is an entry of the platform's list of instances.
type Instance struct {
	ID      state.InstanceID `json:"id"`
	Hall    state.HallName   `json:"hall"`
	Domain  string           `json:"domain"`
	Address netip.AddrPort   `json:"address"`
	Leaving bool             `json:"leaving,omitempty"`
	// ChecksFences is set if the target rejects orders with an older epoch.
	ChecksFences bool `json:"checks_fences,omitempty"`
}

// Page is the platform's response to a read of the log.
type Page struct {
	// Era is the number of times that the log was restored from a backup.
	Era     int64        `json:"era,omitempty"`
	First   state.Offset `json:"first"`
	Head    state.Offset `json:"head"`
	Entries []Entry      `json:"entries"`
}

// Entry is a log record in a Page.
type Entry struct {
	Offset state.Offset `json:"offset"`
	Time   time.Time    `json:"time"`
	Data   []byte       `json:"data"`
}

// Appended is the platform's response to an append.
type Appended struct {
	Offset state.Offset `json:"offset"`
}

// Client calls the platform at one address.
type Client struct {
	base       string
	userAgent  string
	httpClient *exchange.Client

	mu   sync.Mutex
	etag string
	list []Instance
}

// NewClient returns the Client of a node for the platform at an address.
func NewClient(addr netip.AddrPort, node string, httpClient *exchange.Client) *Client {
	return &Client{base: "http://" + addr.String(), userAgent: UserAgent(node), httpClient: httpClient}
}

// UserAgent returns the User-Agent header that a node sends to the platform.
func UserAgent(node string) string { return "troutmastd/" + node }

// Append implements statelog.Log.
func (c *Client) Append(ctx context.Context, data []byte) (state.Offset, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/log", bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", statelog.ErrNotAppended, err)
	}
	req.Header.Set("User-Agent", c.userAgent)
	resp, sent, err := c.httpClient.Do(req)
	if err != nil && !sent {
		return 0, fmt.Errorf("%w: %w", statelog.ErrNotAppended, err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	defer drainBody(resp)
	if resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
		return 0, fmt.Errorf("%w: platform returned %s", statelog.ErrNotAppended, resp.Status)
	}
	var a Appended
	if err := decode(resp, &a); err != nil {
		return 0, err
	}
	return a.Offset, nil
}

// Read implements statelog.Log.
func (c *Client) Read(ctx context.Context, from state.Offset, limit int, wait time.Duration) (statelog.Page, error) {
	q := url.Values{}
	q.Set("from", strconv.FormatUint(uint64(from), 10))
	q.Set("most", strconv.Itoa(limit))
	q.Set("wait", wait.String())
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	var p Page
	if err := c.get(ctx, "/v1/log?"+q.Encode(), &p); err != nil {
		return statelog.Page{}, err
	}
	page := statelog.Page{Era: p.Era, First: p.First, Head: p.Head}
	for _, e := range p.Entries {
		page.Entries = append(page.Entries, state.Entry{Offset: e.Offset, Time: e.Time, Data: e.Data})
	}
	return page, nil
}

// Instances returns the platform's list of instances, which may be out of date.
// An unchanged list is not transferred again.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	resp, err := c.fetch(ctx, "/v1/instances", c.etag)
	if err != nil {
		return nil, err
	}
	defer drainBody(resp)
	if resp.StatusCode == http.StatusNotModified {
		return c.list, nil
	}
	var list []Instance
	if err := decode(resp, &list); err != nil {
		return nil, err
	}
	c.list, c.etag = list, resp.Header.Get("ETag")
	return list, nil
}

// get requests a path and decodes the JSON response.
func (c *Client) get(ctx context.Context, path string, into any) error {
	resp, err := c.fetch(ctx, path, "")
	if err != nil {
		return err
	}
	defer drainBody(resp)
	return decode(resp, into)
}

// fetch requests a path. A non-empty etag makes the request conditional on a changed resource.
func (c *Client) fetch(ctx context.Context, path, etag string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	req.Header.Set("User-Agent", c.userAgent)
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, _, err := c.httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	return resp, nil
}

// decode decodes a JSON response of at most maxResponseBytes.
func decode(resp *http.Response, into any) error {
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%w: want status 2xx, got %s", ErrPlatform, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrPlatform, err)
	}
	return nil
}

// drainBody reads up to 4096 remaining bytes of a body, so that the connection can be reused, and
// closes it.
func drainBody(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4096)
	_ = resp.Body.Close()
}
