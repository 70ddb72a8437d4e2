// Package peer is the client side of what troutmast's nodes say to each other.
package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/troutmast/troutmast/coordination/membership"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/protocol/rpc/rpcconnect"
	"github.com/troutmast/troutmast/state"
)

// ErrPeer means a peer did not answer as it should.
var ErrPeer = errors.New("peer: no usable answer")

// Protocols returns what nodes speak to each other: HTTP/2, with TLS or without,
// since it sends the headers of repeated calls in a few bytes.
func Protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// Bearer returns the value of the Authorization header for a secret.
func Bearer(secret string) string { return "Bearer " + secret }

// Authorized tells, in constant time, whether a request carries a secret.
func Authorized(h http.Header, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(h.Get("Authorization")), []byte(Bearer(secret))) == 1
}

// WithSecret returns a connect option that sends a secret with every call.
func WithSecret(secret string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", Bearer(secret))
			return next(ctx, req)
		}
	}))
}

// Client speaks to all peers; safe for concurrent use.
type Client struct {
	hc      *http.Client
	scheme  string
	secret  string
	dir     *membership.Directory
	seeds   []netip.AddrPort
	timeout time.Duration
	now     func() time.Time

	mu    sync.Mutex
	conns map[netip.AddrPort]rpcconnect.PeerClient
}

// Options are what a Client is made of.
type Options struct {
	Secret string
	// Seeds are addresses of peers that are tried while none is known.
	Seeds []netip.AddrPort
	// Source is the address from which peers are called.
	Source  netip.Addr
	Timeout time.Duration
	Meter   *exchange.Meter
	// TLS, when set, makes the nodes speak https to each other.
	TLS *tls.Config
	Now func() time.Time
}

// scheme returns the scheme by which peers are called.
func (o *Options) scheme() string {
	if o.TLS != nil {
		return "https://"
	}
	return "http://"
}

// NewClient returns a Client that knows peers from a directory and from seed addresses.
func NewClient(dir *membership.Directory, o Options) *Client {
	t := &http.Transport{
		IdleConnTimeout: 30 * time.Second,
		DialContext:     o.Meter.Dial(o.Timeout, o.Source),
		Protocols:       Protocols(),
		TLSClientConfig: o.TLS.Clone(),
	}
	return &Client{
		hc:      &http.Client{Transport: t},
		scheme:  o.scheme(),
		secret:  o.Secret,
		dir:     dir,
		seeds:   o.Seeds,
		timeout: o.Timeout,
		now:     o.Now,
		conns:   map[netip.AddrPort]rpcconnect.PeerClient{},
	}
}

// At returns the client of one address.
func (c *Client) At(addr netip.AddrPort) rpcconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.conns[addr]
	if !ok {
		p = rpcconnect.NewPeerClient(c.hc, c.scheme+addr.String(), WithSecret(c.secret))
		c.conns[addr] = p
	}
	return p
}

// Exchange asks a peer what is new.
func (c *Client) Exchange(ctx context.Context, addr netip.AddrPort, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.At(addr).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	return resp.Msg, nil
}

// Addresses returns where peers are: the live ones, else every address known.
func (c *Client) Addresses() []netip.AddrPort {
	var list []netip.AddrPort
	for _, n := range c.dir.LivePeers("", c.now()) {
		list = append(list, n.Address)
	}
	if len(list) > 0 {
		return list
	}
	return slices.Clone(c.seeds)
}

// Snapshot implements statelog.Peers.
func (c *Client) Snapshot(ctx context.Context, newerThan state.Offset) (*state.Snapshot, error) {
	last := fmt.Errorf("%w: no peer is known", ErrPeer)
	for _, addr := range c.Addresses() {
		snap, err := c.snapshotFrom(ctx, addr, newerThan)
		if err == nil {
			return snap, nil
		}
		last = err
	}
	return nil, last
}

// snapshotFrom asks one peer for its state.
func (c *Client) snapshotFrom(ctx context.Context, addr netip.AddrPort, newerThan state.Offset) (*state.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*c.timeout)
	defer cancel()
	resp, err := c.At(addr).Snapshot(ctx, connect.NewRequest(&rpc.SnapshotRequest{NewerThan: uint64(newerThan)}))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	return &state.Snapshot{At: state.Offset(resp.Msg.GetAt()), Digest: resp.Msg.GetDigest(), Data: resp.Msg.GetData()}, nil
}

// listPeers is how many peers are asked for their instance list at a time.
const listPeers = 3

// Instances returns the youngest instance list that some peers have, and its age.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, time.Duration, error) {
	var youngest []platform.Instance
	var age time.Duration
	err := fmt.Errorf("%w: no peer is known", ErrPeer)
	addrs := c.Addresses()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(listPeers, len(addrs))] {
		list, a, one := c.instancesFrom(ctx, addr)
		if one != nil {
			err = errors.Join(err, one)
			continue
		}
		if youngest == nil || a < age {
			youngest, age = list, a
		}
	}
	if youngest == nil {
		return nil, 0, err
	}
	return youngest, age, nil
}

// instancesFrom asks one peer for its instance list.
func (c *Client) instancesFrom(ctx context.Context, addr netip.AddrPort) ([]platform.Instance, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.At(addr).Instances(ctx, connect.NewRequest(&rpc.InstancesRequest{}))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	var list []platform.Instance
	if err := json.Unmarshal(resp.Msg.GetList(), &list); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	return list, Duration(resp.Msg.GetAgeMs()), nil
}

// Records implements statelog.Peers. No entries and no error mean that a peer
// with the whole state has none from the offset on.
func (c *Client) Records(ctx context.Context, from state.Offset, most int) ([]state.Entry, error) {
	err := fmt.Errorf("%w: no peer is known", ErrPeer)
	for _, addr := range c.Addresses() {
		entries, one := c.recordsFrom(ctx, addr, from, most)
		if one == nil && len(entries) > 0 {
			return entries, nil
		}
		if one == nil || err != nil {
			err = one
		}
	}
	return nil, err
}

// recordsFrom asks one peer for entries.
func (c *Client) recordsFrom(ctx context.Context, addr netip.AddrPort, from state.Offset, most int) ([]state.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.At(addr).Records(ctx, connect.NewRequest(&rpc.RecordsRequest{From: uint64(from), Most: uint32(most)}))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	entries := make([]state.Entry, 0, len(resp.Msg.GetEntries()))
	for _, e := range resp.Msg.GetEntries() {
		entries = append(entries, state.Entry{Offset: state.Offset(e.GetOffset()), Time: time.UnixMicro(e.GetTimeUs()).UTC(), Data: e.GetData()})
	}
	return entries, nil
}
