// Package target is the adapter to target instances: model engines and plain
// services, over HTTP. To support another engine, replace this file.
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
	"sync/atomic"
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
	// ErrTarget means that a target could not be reached or sent an unusable response.
	ErrTarget = errors.New("target: no usable response")
	// ErrFenced means that a target rejected an order whose epoch is older than that of the last
	// order it accepted.
	ErrFenced = errors.New("target: order rejected: a newer epoch was already accepted")
	// ErrUnreachable means that no byte of a call can have reached the target.
	ErrUnreachable = fmt.Errorf("%w: target unreachable", ErrTarget)
	// ErrNotRun means that a target responded that it did not run a call.
	ErrNotRun = fmt.Errorf("%w: target did not run the call", ErrTarget)
	// ErrRequestIDMismatch means that a response does not carry the ID of its request.
	ErrRequestIDMismatch = errors.New("target: request ID of the response differs from that of the request")
	// ErrExchangeMismatch means that a response belongs to an earlier exchange of its connection.
	ErrExchangeMismatch = errors.New("target: response belongs to an earlier exchange of its connection")
)

// Names of the headers that the adapter sends and reads.
const (
	// HeaderRequestID is the ID of a request. The target repeats it in the response.
	HeaderRequestID = "X-Request-Id"
	// HeaderExchange is unique to each call and probe of a node, unlike the ID of a request, which its caller chooses. A
	// target repeats it in the response. Responses without it are accepted, since targets may not know it.
	HeaderExchange = "Troutmast-Exchange"
	// HeaderGroup and HeaderEpoch identify the group at one epoch that a request is for. A target in
	// another group or epoch rejects the request.
	HeaderGroup = "Troutmast-Group"
	HeaderEpoch = "Troutmast-Epoch"
	// HeaderResumeTokens is the number of tokens already delivered of the stream to resume.
	HeaderResumeTokens = "Troutmast-Resume-Tokens"
	// HeaderIdempotencyKey is the idempotency key of a call that must not be run twice.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetryAfter is the cooldown that an overloaded target requests from this node, in seconds.
	HeaderRetryAfter = "Retry-After"
	// HeaderNotRun is set by a target on a response to a request that it did not run.
	HeaderNotRun = "Troutmast-Not-Run"
)

// Report is the response of a target to a probe.
type Report struct {
	Instance    state.InstanceID `json:"instance"`
	Incarnation string           `json:"incarnation"`
	Group       state.GroupName  `json:"group,omitempty"`
	Epoch       state.Epoch      `json:"epoch"`
	Rank        int              `json:"rank"`
	Phase       evidence.Phase   `json:"phase"`
	Leaving     bool             `json:"leaving,omitempty"`
	InFlight    int              `json:"held"`
	Tokens      int64            `json:"tokens"`
	BatchSlots  int              `json:"slots"`
}

// Order assigns a target its group, epoch, rank and model.
type Order struct {
	Group state.GroupName `json:"group,omitempty"`
	Epoch state.Epoch     `json:"epoch"`
	Rank  int             `json:"rank"`
	Size  int             `json:"size"`
	Model state.Model     `json:"model"`
}

// maxReportedLoad is the maximum number of requests or tokens that a target states. Nodes relay requests in 32 bits.
const maxReportedLoad = 1<<31 - 1

// maxReportBytes is the maximum size of the response to a probe.
const maxReportBytes = 64 << 10

// Client calls targets.
type Client struct {
	controlHTTP *exchange.Client
	serveHTTP   *exchange.Client
	onceHTTP    *exchange.Client
	// exchangeCount numbers the exchanges.
	exchangeCount atomic.Uint64

	mu          sync.Mutex
	lastReports map[netip.AddrPort]taggedReport
}

// taggedReport is the last report of a target with its ETag.
type taggedReport struct {
	etag   string
	report evidence.Report
}

// NewClient returns a Client. controlHTTP sends probes, serveHTTP sends calls, and onceHTTP sends orders and
// calls that need a connection of their own: it must not keep connections alive.
func NewClient(controlHTTP, serveHTTP, onceHTTP *exchange.Client) *Client {
	return &Client{controlHTTP: controlHTTP, serveHTTP: serveHTTP, onceHTTP: onceHTTP, lastReports: map[netip.AddrPort]taggedReport{}}
}

// Probe requests the report of a target. If the target sends an ETag with its
// reports, an unchanged report is not transferred again.
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
	id := c.identify(req)
	resp, _, err := c.controlHTTP.Do(req)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return evidence.Report{}, fmt.Errorf("%w: %w", probe.ErrNotListening, err)
	case err != nil:
		return evidence.Report{}, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case !belongsTo(resp, id):
		return evidence.Report{}, fmt.Errorf("%w: %w", ErrTarget, ErrExchangeMismatch)
	case resp.StatusCode == http.StatusNotModified && last.etag != "":
		return last.report, nil
	case resp.StatusCode != http.StatusOK:
		return evidence.Report{}, fmt.Errorf("%w: want status 200, got %s", ErrTarget, resp.Status)
	}
	r, err := DecodeReport(io.LimitReader(resp.Body, maxReportBytes))
	if err == nil {
		c.storeReport(addr, taggedReport{etag: resp.Header.Get("ETag"), report: r})
	}
	return r, err
}

// identify sets the ID of an exchange on its request and returns the ID.
func (c *Client) identify(req *http.Request) string {
	id := strconv.FormatUint(c.exchangeCount.Add(1), 10)
	req.Header.Set(HeaderExchange, id)
	return id
}

// belongsTo reports whether a response may belong to the exchange with an ID.
func belongsTo(resp *http.Response, id string) bool {
	got := resp.Header.Get(HeaderExchange)
	return got == "" || got == id
}

// lastReport returns the last report of the target at an address.
func (c *Client) lastReport(addr netip.AddrPort) taggedReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReports[addr]
}

// storeReport records the last report of the target at an address.
func (c *Client) storeReport(addr netip.AddrPort, t taggedReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReports[addr] = t
}

// DecodeReport decodes and validates the report of a target.
func DecodeReport(r io.Reader) (evidence.Report, error) {
	var msg Report
	if err := json.NewDecoder(r).Decode(&msg); err != nil {
		return evidence.Report{}, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	phaseKnown := msg.Phase == evidence.PhaseIdle || msg.Phase == evidence.PhaseLoading || msg.Phase == evidence.PhaseReady
	if msg.Instance == "" || msg.Incarnation == "" || !phaseKnown || msg.InFlight < 0 || msg.Tokens < 0 || msg.BatchSlots < 0 {
		return evidence.Report{}, fmt.Errorf("%w: report has a missing ID, an unknown phase or a negative load", ErrTarget)
	}
	if msg.Rank < 0 || msg.Rank >= fleet.MaxGroupSize || msg.InFlight > maxReportedLoad || msg.Tokens > maxReportedLoad || msg.BatchSlots > fleet.MaxSlots {
		return evidence.Report{}, fmt.Errorf("%w: %w: rank %d, %d requests, %d tokens, %d slots", ErrTarget, fleet.ErrRange, msg.Rank, msg.InFlight, msg.Tokens, msg.BatchSlots)
	}
	return evidence.Report{
		Instance:    msg.Instance,
		Incarnation: msg.Incarnation,
		Group:       msg.Group,
		Epoch:       msg.Epoch,
		Rank:        msg.Rank,
		Phase:       msg.Phase,
		Leaving:     msg.Leaving,
		Load:        evidence.Load{InFlight: msg.InFlight, Tokens: msg.Tokens, BatchSlots: msg.BatchSlots},
	}, nil
}

// Order sends an order to a target over a connection of its own, on which no response to an earlier order can arrive late.
func (c *Client) Order(ctx context.Context, addr netip.AddrPort, o control.Order) error {
	body, err := json.Marshal(Order{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank, Size: o.Size, Model: o.Model})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTarget, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+"/v1/order", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTarget, err)
	}
	resp, _, err := c.onceHTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTarget, err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return ErrFenced
	case resp.StatusCode/100 != 2:
		return fmt.Errorf("%w: want status 2xx, got %s", ErrTarget, resp.Status)
	}
	return nil
}

// Call is a request to a target.
type Call struct {
	Address     netip.AddrPort
	Method      string
	Path        string
	ContentType string
	Body        []byte
	RequestID   string
	// Group and Epoch are set if the call is for a replica group.
	Group state.GroupName
	Epoch state.Epoch
	// ResumeTokens is the number of tokens already delivered of the stream to resume.
	ResumeTokens int
	// IdempotencyKey is the idempotency key of a call that must not be run twice.
	IdempotencyKey string
	// NewConnection makes the call use a connection of its own.
	NewConnection bool
	// BeforeSend, if set, is called right before the call is sent. If it returns an error, the call is
	// not sent.
	BeforeSend func() error
}

// NotRunError means that a target responded that it did not run a call. It wraps ErrNotRun.
type NotRunError struct {
	Status string
	fleet.Notice
}

// Error implements error.
func (r *NotRunError) Error() string { return fmt.Sprintf("%v: %s", ErrNotRun, r.Status) }

// Unwrap returns ErrNotRun.
func (r *NotRunError) Unwrap() error { return ErrNotRun }

// parseNotice returns the cooldown that an overloaded target requests in its response.
func parseNotice(resp *http.Response) fleet.Notice {
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return fleet.Notice{}
	}
	d, err := retryafter.Parse(resp.Header.Get(HeaderRetryAfter))
	return fleet.Notice{Cooldown: d, CooldownFault: err}
}

// Response is the response of a target. The caller must close Body.
type Response struct {
	Status      int
	ContentType string
	// IsDelimited is set if a truncated body can be told from a complete one.
	IsDelimited bool
	Body        io.ReadCloser
	fleet.Notice
}

// Send sends a call and returns the head of the response. The outcome states whether the target ran
// the call, as far as this is known.
func (c *Client) Send(ctx context.Context, call Call) (*Response, retry.Outcome, error) {
	req, err := call.request(ctx)
	if err != nil {
		return nil, retry.NotRun, fmt.Errorf("%w: %w", ErrTarget, err)
	}
	httpClient := c.serveHTTP
	if call.NewConnection {
		httpClient = c.onceHTTP
	}
	id := c.identify(req)
	resp, sent, err := httpClient.DoIf(req, call.BeforeSend)
	switch {
	case errors.Is(err, exchange.ErrHeldBack):
		return nil, retry.NotRun, err
	case err != nil && sent:
		return nil, retry.Unknown, fmt.Errorf("%w: %w", ErrTarget, err)
	case err != nil:
		return nil, retry.NotRun, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	if !belongsTo(resp, id) {
		_ = resp.Body.Close()
		return nil, retry.Unknown, ErrExchangeMismatch
	}
	if resp.Header.Get(HeaderRequestID) != call.RequestID {
		_ = resp.Body.Close()
		return nil, retry.Unknown, ErrRequestIDMismatch
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		_ = resp.Body.Close()
		return nil, retry.NotRun, &NotRunError{Status: resp.Status, Notice: parseNotice(resp)}
	}
	return &Response{
		Status:      resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"),
		IsDelimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		Body:        resp.Body,
		Notice:      parseNotice(resp),
	}, retry.Completed, nil
}

// request builds the HTTP request of a call.
func (c *Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address.String()+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	setHeader := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	setHeader(HeaderRequestID, c.RequestID)
	setHeader("Content-Type", c.ContentType)
	setHeader(HeaderGroup, string(c.Group))
	setHeader(HeaderIdempotencyKey, c.IdempotencyKey)
	if c.Epoch != 0 {
		req.Header.Set(HeaderEpoch, strconv.FormatUint(uint64(c.Epoch), 10))
	}
	if c.ResumeTokens > 0 {
		req.Header.Set(HeaderResumeTokens, strconv.Itoa(c.ResumeTokens))
	}
	return req, nil
}
