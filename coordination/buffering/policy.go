package buffering

import "time"

// Policy configures how many bytes a node holds for slow readers, and for how long.
type Policy struct {
	// MemoryFraction is the fraction of the node's memory that request bodies and unread responses may take together. The
	// rest holds connections and the node's state, and garbage of up to the size of what is held.
	MemoryFraction float64 `flag:"memory-fraction" help:"fraction of the node's memory that request bodies and unread responses may take" min:"0.01" max:"0.9"`
	// StreamBytes is the number of unread bytes of a response from which on the node reads no more of it. It must exceed the
	// size up to which a response is buffered whole.
	StreamBytes int `flag:"stream-bytes" help:"unread bytes of a response from which on the node reads no more of it" min:"1100000" max:"1000000000"`
	// StreamWait is how long a response at StreamBytes may be left unread before its reader is cut off. Instances abort
	// responses that are left unread for some seconds.
	StreamWait time.Duration `flag:"stream-wait" help:"how long a response with stream-bytes unread bytes may be left unread before its reader is cut off" min:"0s" max:"1m"`
	// IdleTimeout is the time without progress of a write to a caller after which the caller is cut off.
	IdleTimeout time.Duration `flag:"idle-timeout" help:"time without progress of a write to a caller after which the caller is cut off" min:"100ms" max:"10m"`
	// InstanceWriteTimeout is the time without progress of a write to an instance after which the attempt fails.
	InstanceWriteTimeout time.Duration `flag:"instance-write-timeout" help:"time without progress of a write to an instance after which the attempt fails" min:"100ms" max:"10m"`
	// SocketBytes is the size of the send buffer of a caller's connection. The system would let it grow to several
	// megabytes, which no bound of the node covers.
	SocketBytes int `flag:"socket-bytes" help:"size of the send buffer of a caller's connection" min:"2048" max:"10000000"`
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{
		MemoryFraction:       0.25,
		StreamBytes:          2 << 20,
		StreamWait:           time.Second,
		IdleTimeout:          10 * time.Second,
		InstanceWriteTimeout: 2 * time.Second,
		SocketBytes:          64 << 10,
	}
}
