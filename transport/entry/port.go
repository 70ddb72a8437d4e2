package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/gateway"
)

// Store reads and appends to the platform's topics.
type Store interface {
	Newest(ctx context.Context, topic source.Topic) (source.ReadResult, error)
	Read(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.ReadResult, error)
	Append(ctx context.Context, topic source.Topic, key string, value []byte) (source.RecordPosition, error)
}

// Decoder reads the platform's records.
type Decoder interface {
	Catalog(raw []byte) (*catalog.Catalog, error)
	Instance(id string, raw []byte) (fleet.Instance, error)
}

// ConnectionReuse selects the connection over which an instance is called.
type ConnectionReuse bool

// The connections. A reused connection may be broken without notice, so a call that decides
// whether an instance is lost uses a new one.
const (
	AnyConnection ConnectionReuse = false
	NewConnection ConnectionReuse = true
)

// OrderResult is an instance's answer to an order.
type OrderResult struct {
	fleet.Notice
	Reply placement.Reply
}

// TargetClient sends probes and orders to instances. If the answer carries a notice, such as a cooldown
// or a rate limit, it is returned together with an error too.
type TargetClient interface {
	Report(ctx context.Context, at netip.AddrPort, id state.InstanceID, by ConnectionReuse) (fleet.Report, error)
	// Order sends an order over a connection of its own.
	Order(ctx context.Context, o placement.Order) (OrderResult, error)
}

// Ports are the adapters through which a node uses the platform.
type Ports struct {
	Store       Store
	Decoder     Decoder
	Target      TargetClient
	HeaderCodec gateway.HeaderCodec
}
