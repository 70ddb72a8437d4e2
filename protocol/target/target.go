// Package target is the adapter to target instances: model engines and plain
// services, over HTTP. Another engine is fitted by replacing this file.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"

	"github.com/troutmast/troutmast/coordination/control"
	"github.com/troutmast/troutmast/coordination/evidence"
	"github.com/troutmast/troutmast/coordination/probe"
	"github.com/troutmast/troutmast/coordination/retry"
	"github.com/troutmast/troutmast/internal/retryafter"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Errors of this package.
var (
	// ErrTarget means a target did not answer as it should.
	ErrTarget = errors.New("target: no usable answer")
	// ErrFenced means a target refused an order as older than the last it obeyed.
	ErrFenced = errors.New("target: order refused as stale")
	// ErrUnreachable means that no byte of a call can have reached a target.
	ErrUnreachable = fmt.Errorf("%w: not reached", ErrTarget)
	// ErrRefused means a target said that it did not run a call.
	ErrRefused = fmt.Errorf("%w: refused", ErrTarget)
	// ErrMismatch means an answer was not bound to the request it came for.
	ErrMismatch = errors.New("target: the answer is of another request")
)

// Header names that the adapter sends and expects.
const (
	// HeaderRequestID binds an answer to its request: the target echoes it.
	HeaderRequestID = "X-Request-Id"
	// HeaderGroup and HeaderEpoch name the group that is meant; a target in another one refuses.
	HeaderGroup = "Troutmast-Group"
	HeaderEpoch = "Troutmast-Epoch"
	// HeaderResume is the number of tokens already delivered of a stream to be resumed.
	HeaderResume = "Troutmast-Resume-Tokens"
	// HeaderKey carries the key of a call that may not be repeated.
	HeaderKey = "Idempotency-Key"
	// HeaderRetryAfter is, on a refusal, for how many seconds a target wants no further request
	// of this node.
	HeaderRetryAfter = "Retry-After"
	// HeaderNotRun is set by a target on an answer that says it did not run the request.
	HeaderNotRun = "Troutmast-Not-Run"
)

// Report is what a target answers to a probe.
type Report struct {
	Instance    state.InstanceID `json:"instance"`
	Incarnation string           `json:"incarnation"`
	Group       state.GroupName  `json:"group,omitempty"`
	Epoch       state.Epoch      `json:"epoch"`
	Rank        int              `json:"rank"`
	Phase       evidence.Phase   `json:"phase"`
	Leaving     bool             `json:"leaving,omitempty"`
	Held        int              `json:"held"`
	Tokens      int64            `json:"tokens"`
	Slots       int              `json:"slots"`
}

// Order is what a target is told to be.
type Order struct {
	Group state.GroupName `json:"group,omitempty"`
	Epoch state.Epoch     `json:"epoch"`
	Rank  int             `json:"rank"`
	Size  int             `json:"size"`
	Model state.Model     `json:"model"`
}

// maxReportBytes bounds the answer to a probe.
const maxReportBytes = 64 << 10

// Client speaks to targets.
type Client struct {
	control *exchange.Client
	serve   *exchange.Client
	once    *exchange.Client

	mu   sync.Mutex
	last map[netip.AddrPort]tagged
}

// tagged is the last report of a target, with the tag that the target gave it.
type tagged struct {
	etag   string
	report evidence.Report
}

// NewClient returns a Client. once must not keep connections alive.
func NewClient(controlX, serve, once *exchange.Client) *Client {
	return &Client{control: controlX, serve: serve, once: once, last: map[netip.AddrPort]tagged{}}
}

// Probe asks a target what it is. A target that tags its reports answers one
// that has not changed in a few bytes.
func (c *Client) Probe(ctx context.Context, addr netip.AddrPort) (evidence.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+"/v1/report", nil)
	if err != nil {
		return evidence.Report{}, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	last := c.lastReport(addr)
	req.Header.Set("User-Agent", "")
	if last.etag != "" {
		req.Header.Set("If-None-Match", last.etag)
	}
	resp, _, err := c.control.Do(req)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return evidence.Report{}, fmt.Errorf("%w: %w", probe.ErrNotListening, err)
	case err != nil:
		return evidence.Report{}, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && last.etag != "":
		return last.report, nil
	case resp.StatusCode != http.StatusOK:
		return evidence.Report{}, fmt.Errorf("%w: %s", ErrTarget, resp.Status)
	}
	r, err := DecodeReport(io.LimitReader(resp.Body, maxReportBytes))
	if err == nil {
		c.keepReport(addr, tagged{etag: resp.Header.Get("ETag"), report: r})
	}
	return r, err
}

// lastReport returns the last tagged report of an address.
func (c *Client) lastReport(addr netip.AddrPort) tagged {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last[addr]
}

// keepReport remembers the last report of an address.
func (c *Client) keepReport(addr netip.AddrPort, t tagged) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last[addr] = t
}

// DecodeReport reads and checks what a target reported.
func DecodeReport(r io.Reader) (evidence.Report, error) {
	var w Report
	if err := json.NewDecoder(r).Decode(&w); err != nil {
		return evidence.Report{}, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	known := w.Phase == evidence.PhaseIdle || w.Phase == evidence.PhaseLoading || w.Phase == evidence.PhaseReady
	if w.Instance == "" || w.Incarnation == "" || !known || w.Held < 0 || w.Tokens < 0 || w.Slots < 0 {
		return evidence.Report{}, fmt.Errorf("%w: incomplete report", ErrTarget)
	}
	return evidence.Report{
		Instance:    w.Instance,
		Incarnation: w.Incarnation,
		Group:       w.Group,
		Epoch:       w.Epoch,
		Rank:        w.Rank,
		Phase:       w.Phase,
		Leaving:     w.Leaving,
		Load:        evidence.Load{InFlight: w.Held, Tokens: w.Tokens, BatchSlots: w.Slots},
	}, nil
}

// Order sends an order to a target.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o control.Order) error {
	body, err := json.Marshal(Order{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank, Size: o.Size, Model: o.Model})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTarget, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/order", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTarget, err)
	}
	resp, _, err := c.control.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTarget, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode/100 != 2:
		return fmt.Errorf("%w: %s", ErrTarget, resp.Status)
	}
	return nil
}

// Call is one request to a target.
type Call struct {
	Address     netip.AddrPort
	Method      string
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
	// Group and Epoch are set for a request to a replica group.
	Group state.GroupName
	Epoch state.Epoch
	// Resume is the number of tokens already delivered.
	Resume int
	// Key is set for a call that may not be repeated.
	Key string
	// Once gives the call a connection of its own.
	Once bool
	// Check, if set, is asked right before the call leaves; its error keeps it from leaving.
	Check func() error
}

// Refusal means that a target said it did not run a call. It is an ErrRefused.
type Refusal struct {
	Status string
	fleet.Notice
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("%v: %s", ErrRefused, r.Status) }

// Unwrap makes a Refusal an ErrRefused.
func (r *Refusal) Unwrap() error { return ErrRefused }

// notice reads for how long a target that is overloaded wants no further call.
func notice(resp *http.Response) fleet.Notice {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return fleet.Notice{}
	}
	d, err := retryafter.Parse(resp.Header.Get(HeaderRetryAfter))
	return fleet.Notice{Cooldown: d, CooldownFault: err}
}

// Answer is the head of a target's answer; Body must be closed.
type Answer struct {
	Status      int
	ContentType string
	// Delimited is set when a cut in the body can be told from its end.
	Delimited bool
	Body      io.ReadCloser
	fleet.Notice
}

// Send sends a call and returns the head of the answer, or what is certain about the attempt.
func (c *Client) Send(ctx context.Context, call Call) (*Answer, retry.Outcome, error) {
	req, err := call.request(ctx)
	if err != nil {
		return nil, retry.NotRun, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	x := c.serve
	if call.Once {
		x = c.once
	}
	resp, sent, err := x.DoIf(req, call.Check)
	switch {
	case errors.Is(err, exchange.ErrHeldBack):
		return nil, retry.NotRun, err
	case err != nil && sent:
		return nil, retry.Unknown, fmt.Errorf("%w: %w", ErrTarget, err)
	case err != nil:
		return nil, retry.NotRun, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if resp.Header.Get(HeaderRequestID) != call.RequestID {
		_ = resp.Body.Close()
		return nil, retry.Unknown, ErrMismatch
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		_ = resp.Body.Close()
		return nil, retry.NotRun, &Refusal{Status: resp.Status, Notice: notice(resp)}
	}
	return &Answer{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		Delimited:   resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		Body:        resp.Body,
		Notice:      notice(resp),
	}, retry.Completed, nil
}

// request builds the HTTP request of a call.
func (c *Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(HeaderRequestID, c.RequestID)
	set("Content-Type", c.ContentType)
	set(HeaderGroup, string(c.Group))
	set(HeaderKey, c.Key)
	if c.Epoch != 0 {
		req.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(c.Epoch), 10))
	}
	if c.Resume > 0 {
		req.Header.Set(HeaderResume, strconv.Itoa(c.Resume))
	}
	return req, nil
}
