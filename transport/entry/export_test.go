package entry

import (
	"time"

	"github.com/troutmast/troutmast/protocol/direct"
)

// PartitionFromInstances makes every connection of the node to an instance fail. It must be called before Run.
func (n *Node) PartitionFromInstances() {
	n.gateway.Pool = direct.NewPool(direct.Dialer{Timeout: time.Nanosecond}, n.clock.Now)
}
