package entry

import (
	"errors"
	"net/http"
	"time"

	"github.com/troutmast/troutmast/protocol/direct"
)

// PartitionFromInstances makes every connection of the node to an instance fail. It must be called before Run.
func (n *Node) PartitionFromInstances() {
	n.gateway.Pool = direct.NewPool(direct.Dialer{Timeout: time.Nanosecond}, n.clock.Now)
}

// PartitionFromPeers makes the node's calls of other nodes fail while isCut reports true. It must be called before Run.
func (n *Node) PartitionFromPeers(isCut func() bool) {
	next := n.peers.hc.Transport
	n.peers.hc.Transport = roundTripper(func(req *http.Request) (*http.Response, error) {
		if isCut() {
			return nil, errPartitioned
		}
		return next.RoundTrip(req)
	})
}

var errPartitioned = errors.New("partitioned")

// roundTripper is a function as http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
