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
	Newest(ctx context.Context, topic source.Topic) (source.Tail, error)
	Read(ctx context.Context, topic source.Topic, from int64, wait time.Duration) (source.Tail, error)
	Append(ctx context.Context, topic source.Topic, key string, value []byte) (source.Place, error)
}

// Decoder reads the platform's records.
type Decoder interface {
	Catalog(raw []byte) (*catalog.Catalog, error)
	Instance(id string, raw []byte) (fleet.Instance, error)
}

// Connection says over which connection an instance is called.
type Connection bool

// The connections. A kept one may have gone silent for good, so what decides whether an
// instance is lost is asked over a new one.
const (
	AnyConnection Connection = false
	NewConnection Connection = true
)

// OrderAnswer is what an instance says of an order.
type OrderAnswer struct {
	fleet.Notice
	Reply placement.Reply
}

// Targets asks and orders instances. What an answer says of when to call the instance again
// is returned with errors too.
type Targets interface {
	Report(ctx context.Context, at netip.AddrPort, id state.InstanceID, by Connection) (fleet.Report, error)
	Order(ctx context.Context, o placement.Order, by Connection) (OrderAnswer, error)
}

// Ports are the parts of a node that speak to the platform.
type Ports struct {
	Store   Store
	Decoder Decoder
	Targets Targets
	Dialect gateway.HeaderCodec
}
