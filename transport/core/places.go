package core

import (
	"maps"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/state"
)

// Places is the platform's instance list as last seen.
type Places struct {
	p atomic.Pointer[places]
}

// places is one list; it is never changed.
type places struct {
	asked time.Time
	m     map[state.InstanceID]platform.Instance
}

// NewPlaces returns an empty list.
func NewPlaces() *Places {
	p := &Places{}
	p.p.Store(&places{})
	return p
}

// Set replaces the list by one that the platform was asked for at a time, unless the held one is
// younger. It reports whether any entry has changed.
func (p *Places) Set(list []platform.Instance, asked time.Time) (changed bool) {
	old := p.p.Load()
	if !asked.After(old.asked) {
		return false
	}
	m := make(map[state.InstanceID]platform.Instance, len(list))
	for _, i := range list {
		m[i.ID] = i
	}
	p.p.Store(&places{asked: asked, m: m})
	return old.asked.IsZero() || !maps.Equal(m, old.m)
}

// Asked returns when the platform was asked for the list; false before the first.
func (p *Places) Asked() (time.Time, bool) {
	asked := p.p.Load().asked
	return asked, !asked.IsZero()
}

// All returns the list by id; it must not be changed.
func (p *Places) All() map[state.InstanceID]platform.Instance { return p.p.Load().m }

// Get returns one entry.
func (p *Places) Get(id state.InstanceID) (platform.Instance, bool) {
	i, ok := p.p.Load().m[id]
	return i, ok
}

// Address returns where an instance listens.
func (p *Places) Address(id state.InstanceID) (netip.AddrPort, bool) {
	i, ok := p.Get(id)
	return i.Address, ok
}

// List returns the entries in no order.
func (p *Places) List() []platform.Instance {
	all := p.All()
	list := make([]platform.Instance, 0, len(all))
	for _, i := range all {
		list = append(list, i)
	}
	return list
}
