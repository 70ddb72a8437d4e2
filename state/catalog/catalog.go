// Package catalog holds the configuration that a platform's operator states
// as a whole: routes, services with their engines, teams with their keys, and
// the limits of callers. A Catalog is built once and never changed.
package catalog

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/troutmast/troutmast/state"
)

// RouteKind says how often a request of a route may be run.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe RouteKind = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteKind = "unsafe"
	// Stream requests are answered with a series of events.
	Stream RouteKind = "stream"
)

// Share is a part of a route's requests that goes to one service.
type Share struct {
	Service state.ServiceName
	Weight  float64
}

// Route says which service answers the requests for a host and a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest that a request is held; 0 is no bound.
	Timeout time.Duration
	// Goal is the time to the first event, or to the answer, that callers hope for.
	Goal time.Duration
	// GapGoal is the longest pause between two events that callers hope for.
	GapGoal time.Duration
	// Priority ranks the route's requests; 0 goes first.
	Priority int
	Shares   []Share
	// MaxAttempts is the greatest number of instances that one request may be run by.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another instance after a known event.
	Resumable bool
}

// Repeatable reports whether a request of the route may be run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Pick draws one of the route's services by weight.
func (r *Route) Pick() state.ServiceName {
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := rand.Float64() * total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is one model of an engine service.
type Model struct {
	Name string
	// Size is the number of instances in a group of the model.
	Size int
	// Share is the part of the service's work that the model is expected to have.
	Share float64
	// Pace is a factor on all times of a group of the model.
	Pace float64
	// Load is the time to load the model from the weight store, Warm from the instance's host.
	Load time.Duration
	Warm time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that a group batches.
	Slots int
	// Step is the time of a token step, PerSequence what each request in the batch adds.
	Step        time.Duration
	PerSequence time.Duration
	// ReadPerSecond is the number of prompt tokens read in a second.
	ReadPerSecond float64
	// Stride is the number of token steps played in one pass.
	Stride int
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of a request.
	UsualPrompt float64
	UsualAnswer float64
	// LoadsPerSecond bounds the loads from the weight store, LoadsAtOnce is how many it carries without slowing down.
	LoadsPerSecond float64
	LoadsAtOnce    int
	// Form is the time that an open group needs before it serves.
	Form time.Duration
	// ReportLag is how old what an instance reports may be.
	ReportLag time.Duration
	Models    []Model
}

// Model returns a model by name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a set of instances that answer the same requests.
type Service struct {
	Name state.ServiceName
	// MaxConns is the number of connections that one instance accepts from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Team is a set of callers with keys of their own.
type Team struct {
	Name state.TeamName
	// Priority takes the place of the route's; nil leaves that.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Catalog is one whole configuration.
type Catalog struct {
	Version  int64
	Services map[state.ServiceName]*Service
	Limits   Limits
	// Keyed tells that requests need a key, except on public routes.
	Keyed bool

	routes map[routeKey]*Route
	teams  map[string]*Team
}

// routeKey finds a route.
type routeKey struct{ host, prefix string }

// New returns a Catalog; teams are listed under each of their keys.
func New(version int64, routes []Route, services []Service, teams map[string]*Team, limits Limits) *Catalog {
	c := &Catalog{
		Version:  version,
		Services: make(map[state.ServiceName]*Service, len(services)),
		Limits:   limits,
		Keyed:    teams != nil,
		routes:   make(map[routeKey]*Route, len(routes)),
		teams:    teams,
	}
	for i := range routes {
		c.routes[routeKey{routes[i].Host, routes[i].Prefix}] = &routes[i]
	}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
	}
	return c
}

// Route returns the route with the longest prefix of a path at a host, or nil.
func (c *Catalog) Route(host, path string) *Route {
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := c.routes[routeKey{host, path[:slash+1]}]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Team returns the team that holds a key, or nil.
func (c *Catalog) Team(key string) *Team { return c.teams[key] }
