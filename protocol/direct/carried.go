package direct

import (
	"hash/maphash"
	"slices"
)

// MaxExchanges is the number of exchanges after which a connection is closed, which bounds what it remembers.
const MaxExchanges = 512

// requestID is the hash of a Request.ID, or 0 for a request without one.
type requestID uint64

// hashSeed is the seed of request IDs.
var hashSeed = maphash.MakeSeed()

// newRequestID returns the requestID of a Request.ID.
func newRequestID(id string) requestID {
	if id == "" {
		return 0
	}
	return requestID(maphash.String(hashSeed, id))
}

// hasCarried reports whether an exchange of a request began on the connection.
func (c *conn) hasCarried(id requestID) bool { return id != 0 && slices.Contains(c.carried, id) }
