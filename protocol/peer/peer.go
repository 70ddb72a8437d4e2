// Package peer is the client for calls between troutmast nodes.
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
	"github.com/troutmast/troutmast/protocol/direct"
	"github.com/troutmast/troutmast/protocol/exchange"
	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/protocol/rpc/rpcconnect"
	"github.com/troutmast/troutmast/state"
)

// ErrPeer means that a peer could not be reached or sent an unusable response.
var ErrPeer = errors.New("peer: no usable response")

// HTTPProtocols returns the protocols for calls between nodes: HTTP/2, with or
// without TLS. HTTP/2 compresses the headers of repeated calls to a few bytes.
func HTTPProtocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// BearerHeader returns the value of the Authorization header for a secret.
func BearerHeader(secret string) string { return "Bearer " + secret }

// IsAuthorized reports whether a request carries a secret. It compares in constant time.
func IsAuthorized(h http.Header, secret string) bool {
	return subtle.ConstantTimeCompare([]byte(h.Get("Authorization")), []byte(BearerHeader(secret))) == 1
}

// WithBearer returns a connect option that sends a secret with every call.
func WithBearer(secret string) connect.ClientOption {
	return connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", BearerHeader(secret))
			return next(ctx, req)
		}
	}))
}

// Client calls the peers of a node. It is safe for concurrent use.
type Client struct {
	httpClient *http.Client
	scheme     string
	secret     string
	dir        *membership.Directory
	seeds      []netip.AddrPort
	timeout    time.Duration
	now        func() time.Time

	mu      sync.Mutex
	clients map[netip.AddrPort]rpcconnect.PeerClient
}

// Options configure a Client.
type Options struct {
	Secret string
	// Seeds are the addresses to try while no live peer is known.
	Seeds []netip.AddrPort
	// Source is the local address of connections to peers.
	Source  netip.Addr
	Timeout time.Duration
	Meter   *exchange.Meter
	// TLS, if set, enables https for calls to peers.
	TLS *tls.Config
	Now func() time.Time
}

// scheme returns the URL scheme of calls to peers.
func (o *Options) scheme() string {
	if o.TLS != nil {
		return "https://"
	}
	return "http://"
}

// NewClient returns a Client that finds live peers in a directory. While there are none, it uses the
// seed addresses.
func NewClient(dir *membership.Directory, o Options) *Client {
	transport := &http.Transport{
		IdleConnTimeout: 30 * time.Second,
		DialContext:     o.Meter.Dial(o.Timeout, o.Source),
		Protocols:       HTTPProtocols(),
		TLSClientConfig: o.TLS.Clone(),

		MaxResponseHeaderBytes: direct.MaxHeadBytes,
	}
	return &Client{
		httpClient: &http.Client{Transport: transport},
		scheme:     o.scheme(),
		secret:     o.Secret,
		dir:        dir,
		seeds:      o.Seeds,
		timeout:    o.Timeout,
		now:        o.Now,
		clients:    map[netip.AddrPort]rpcconnect.PeerClient{},
	}
}

// ClientFor returns the client for the peer at an address.
func (c *Client) ClientFor(addr netip.AddrPort) rpcconnect.PeerClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.clients[addr]
	if !ok {
		p = rpcconnect.NewPeerClient(c.httpClient, c.scheme+addr.String(), WithBearer(c.secret), connect.WithReadMaxBytes(maxUnpacked))
		c.clients[addr] = p
	}
	return p
}

// Exchange requests the changes that a peer has for this node.
func (c *Client) Exchange(ctx context.Context, addr netip.AddrPort, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.ClientFor(addr).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	return resp.Msg, nil
}

// Addresses returns the addresses of the live peers, or the seed addresses if there are none.
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

// Snapshot implements statelog.Peers. It returns the first snapshot that a peer sends.
func (c *Client) Snapshot(ctx context.Context, newerThan state.Offset) (*state.Snapshot, error) {
	lastErr := fmt.Errorf("%w: no peer address known", ErrPeer)
	for _, addr := range c.Addresses() {
		snap, err := c.snapshotFrom(ctx, addr, newerThan)
		if err == nil {
			return snap, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// snapshotFrom requests the snapshot of one peer.
func (c *Client) snapshotFrom(ctx context.Context, addr netip.AddrPort, newerThan state.Offset) (*state.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*c.timeout)
	defer cancel()
	resp, err := c.ClientFor(addr).Snapshot(ctx, connect.NewRequest(&rpc.SnapshotRequest{NewerThan: uint64(newerThan)}))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	return &state.Snapshot{At: state.Offset(resp.Msg.GetAt()), Digest: resp.Msg.GetDigest(), Data: resp.Msg.GetData()}, nil
}

// maxListPeers is the maximum number of peers that one call of Instances requests a list from.
const maxListPeers = 3

// Instances requests the instance lists of a few random peers and returns the newest one with its age.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, time.Duration, error) {
	var newest []platform.Instance
	var age time.Duration
	err := fmt.Errorf("%w: no peer address known", ErrPeer)
	addrs := c.Addresses()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(maxListPeers, len(addrs))] {
		list, a, peerErr := c.instancesFrom(ctx, addr)
		if peerErr != nil {
			err = errors.Join(err, peerErr)
			continue
		}
		if newest == nil || a < age {
			newest, age = list, a
		}
	}
	if newest == nil {
		return nil, 0, err
	}
	return newest, age, nil
}

// instancesFrom requests the instance list of one peer and its age.
func (c *Client) instancesFrom(ctx context.Context, addr netip.AddrPort) ([]platform.Instance, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.ClientFor(addr).Instances(ctx, connect.NewRequest(&rpc.InstancesRequest{}))
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	var list []platform.Instance
	if err := json.Unmarshal(resp.Msg.GetList(), &list); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	return list, FromMilliseconds(resp.Msg.GetAgeMs()), nil
}

// Records implements statelog.Peers. No entries and no error mean that a peer
// with the complete state has no entries from the offset on.
func (c *Client) Records(ctx context.Context, from state.Offset, limit int) ([]state.Entry, error) {
	err := fmt.Errorf("%w: no peer address known", ErrPeer)
	for _, addr := range c.Addresses() {
		entries, peerErr := c.recordsFrom(ctx, addr, from, limit)
		if peerErr == nil && len(entries) > 0 {
			return entries, nil
		}
		if peerErr == nil || err != nil {
			err = peerErr
		}
	}
	return nil, err
}

// recordsFrom requests log entries from one peer.
func (c *Client) recordsFrom(ctx context.Context, addr netip.AddrPort, from state.Offset, limit int) ([]state.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.ClientFor(addr).Records(ctx, connect.NewRequest(&rpc.RecordsRequest{From: uint64(from), Most: uint32(limit)}))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrPeer, err)
	}
	entries := make([]state.Entry, 0, len(resp.Msg.GetEntries()))
	for _, e := range resp.Msg.GetEntries() {
		entries = append(entries, state.Entry{Offset: state.Offset(e.GetOffset()), Time: time.UnixMicro(e.GetTimeUs()).UTC(), Data: e.GetData()})
	}
	return entries, nil
}
