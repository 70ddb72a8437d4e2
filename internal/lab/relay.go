package lab

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// relay stands between a node and the others that call it, so that they can be
// cut off from each other. It knows a caller by its IP number.
type relay struct {
	addr netip.AddrPort
	to   netip.AddrPort
	l    net.Listener

	mu    sync.Mutex
	cut   map[netip.Addr]bool
	conns map[net.Conn]netip.Addr
}

// newRelay returns a running relay to an address.
func newRelay(to netip.AddrPort) (*relay, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	r := &relay{addr: addr, to: to, l: l, cut: map[netip.Addr]bool{}, conns: map[net.Conn]netip.Addr{}}
	go r.run()
	return r, nil
}

// run accepts connections until the relay is closed.
func (r *relay) run() {
	for {
		c, err := r.l.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

// carry passes the bytes of one connection on, both ways.
func (r *relay) carry(in net.Conn) {
	defer func() { _ = in.Close() }()
	from, err := netip.ParseAddrPort(in.RemoteAddr().String())
	if err != nil || !r.enter(in, from.Addr()) {
		return
	}
	defer r.leave(in)
	out, err := net.Dial("tcp", r.to.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
}

// enter notes a connection, unless its caller is cut off.
func (r *relay) enter(c net.Conn, from netip.Addr) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut[from] {
		return false
	}
	r.conns[c] = from
	return true
}

// leave forgets a connection.
func (r *relay) leave(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// setCut cuts a caller off, or lets it in again.
func (r *relay) setCut(from netip.Addr, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[from] = cut
	for c, a := range r.conns {
		if cut && a == from {
			_ = c.Close()
		}
	}
}

// close ends the relay and its connections.
func (r *relay) close() {
	_ = r.l.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Cut cuts two nodes off from each other, in both directions, or joins them again.
func Cut(a, b *Node, cut bool) {
	a.relay.setCut(b.Peer.Addr(), cut)
	b.relay.setCut(a.Peer.Addr(), cut)
}
