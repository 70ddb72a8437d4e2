// Package catalog holds the configuration that the operator of a platform sets:
// routes, services with their engines, teams with their keys, and the limits on
// requests of callers. A Catalog is immutable once built.
package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// RouteKind is how the requests of a route may be executed and answered.
type RouteKind string

// The kinds of routes.
const (
	// Safe requests may be executed more than once.
	Safe RouteKind = "safe"
	// Unsafe requests are executed at most once.
	Unsafe RouteKind = "unsafe"
	// Stream requests are answered with a series of events.
	Stream RouteKind = "stream"
)

// WeightedService is the part of a route's requests that one service receives.
type WeightedService struct {
	Service state.ServiceName
	Weight  float64
}

// Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the duration of a request; 0 is no bound.
	Timeout time.Duration
	// Goal is the target for the time to the first event of a stream, or to the response.
	Goal time.Duration
	// GapGoal is the target for the longest gap between two events of a stream.
	GapGoal time.Duration
	// Priority ranks the route's requests; 0 is the highest.
	Priority int
	Shares   []WeightedService
	// MaxAttempts is the maximum number of instances that may run one request. The request may be
	// sent to a few more that did not run it.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another instance after a known event.
	Resumable bool
	// Homes are the regions in which the route's requests may run; empty if they may run everywhere.
	Homes []state.RegionName
}

// CanRetry reports whether a request of the route may be executed more than once.
func (r *Route) CanRetry() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// PickService returns one of the route's services, chosen at random by weight.
func (r *Route) PickService() state.ServiceName {
	var total float64
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := rand.Float64() * total
	for _, s := range r.Shares {
		if remaining -= s.Weight; remaining < 0 {
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
	// GroupSize is the number of instances in a group of the model.
	GroupSize int
	// ExpectedShare is the expected part of the service's load that is for the model.
	ExpectedShare float64
	// TimeFactor is the factor by which all engine times are multiplied for groups of the model.
	TimeFactor float64
	// LoadTime is the time to load the model from the weight store, HostLoadTime the time to
	// load it from the instance's host.
	LoadTime     time.Duration
	HostLoadTime time.Duration
}

// Engine describes the inference engines of a service.
type Engine struct {
	// BatchSlots is the maximum number of requests in a group's batch.
	BatchSlots int
	// StepTime is the duration of a token step, StepTimePerRequest the time that each request in the batch
	// adds to it.
	StepTime           time.Duration
	StepTimePerRequest time.Duration
	// PrefillTokensPerSecond is the number of prompt tokens that a group reads per second.
	PrefillTokensPerSecond float64
	// StepsPerPass is the number of token steps that are run in one pass.
	StepsPerPass int
	// PromptTokensPerPass is the maximum number of prompt tokens that are processed in one pass, or 0 if unknown.
	PromptTokensPerPass int
	// MeanPromptTokens and MeanResponseTokens are the mean numbers of prompt and response tokens of a request.
	MeanPromptTokens   float64
	MeanResponseTokens float64
	// MaxLoadsPerSecond bounds the rate of loads from the weight store, MaxConcurrentLoads is the number of
	// concurrent loads that it serves without slowing down.
	MaxLoadsPerSecond  float64
	MaxConcurrentLoads int
	// FormTime is the time that an open group needs before it serves requests.
	FormTime time.Duration
	// MaxReportAge is the maximum age of the information that an instance reports.
	MaxReportAge time.Duration
	Models       []Model
	// Delays are the delays between data halls; empty if the configuration states none.
	Delays []HallDelay
}

// MaxHallDelay returns the longest delay between two data halls, or 0 if none is stated.
func (e *Engine) MaxHallDelay() time.Duration {
	var longest time.Duration
	for _, d := range e.Delays {
		longest = max(longest, d.Delay)
	}
	return longest
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

// HallDelay is the one-way delay of the network from one data hall to another.
type HallDelay struct {
	From, To state.HallName
	Delay    time.Duration
}

// minHallDelay is the delay between two halls from which on it matters to callers where their requests run.
const minHallDelay = time.Millisecond

// HasDistantHalls reports whether the delay between any two halls matters to callers.
func (e *Engine) HasDistantHalls() bool { return e.MaxHallDelay() >= minHallDelay }

// Service is a set of instances that answer the same requests.
type Service struct {
	Name state.ServiceName
	// MaxConns is the number of connections that one instance accepts from all callers.
	MaxConns int
	// ColdStart is how long an instance is cold after a start under traffic, ColdPerSecond the number
	// of requests that a cold instance can handle a second; 0 if instances of the service are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
	// HasPriorities is set if the service's requests have more than one priority. New sets it.
	HasPriorities bool
}

// Team is a set of callers with keys of their own.
type Team struct {
	Name state.TeamName
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// Homes are the regions in which the team's requests may run; empty if they may run everywhere.
	Homes []state.RegionName
}

// Limits bounds the requests and connections of a caller.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Catalog is one complete configuration.
type Catalog struct {
	Version  int64
	Services map[state.ServiceName]*Service
	Limits   Limits
	// RequiresKeys is set if requests need a key, except on public routes.
	RequiresKeys bool

	routes map[routeKey]*Route
	teams  map[string]*Team
}

// routeKey identifies a route.
type routeKey struct{ host, prefix string }

// New returns a Catalog; teams maps each key to the team that holds it. No request needs a key if
// teams is nil.
func New(version int64, routes []Route, services []Service, teams map[string]*Team, limits Limits) *Catalog {
	c := &Catalog{
		Version:      version,
		Services:     make(map[state.ServiceName]*Service, len(services)),
		Limits:       limits,
		RequiresKeys: teams != nil,
		routes:       make(map[routeKey]*Route, len(routes)),
		teams:        teams,
	}
	for i := range routes {
		c.routes[routeKey{routes[i].Host, routes[i].Prefix}] = &routes[i]
	}
	for i := range services {
		c.Services[services[i].Name] = &services[i]
		services[i].HasPriorities = hasPriorities(services[i].Name, routes, teams)
	}
	return c
}

// hasPriorities reports whether the requests for a service have more than one priority: those of its routes, and those of
// the teams that have one of their own.
func hasPriorities(service state.ServiceName, routes []Route, teams map[string]*Team) bool {
	priorities := map[int]bool{}
	for i := range routes {
		if slices.ContainsFunc(routes[i].Shares, func(w WeightedService) bool { return w.Service == service }) {
			priorities[routes[i].Priority] = true
		}
	}
	for _, t := range teams {
		if t.Priority != nil {
			priorities[*t.Priority] = true
		}
	}
	return len(priorities) > 1
}

// Validate returns an error if a number that sizes groups or their batches is out of range.
func (c *Catalog) Validate() error {
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		if n := s.Engine.BatchSlots; n < 0 || n > fleet.MaxSlots {
			return fmt.Errorf("%w: %d slots of service %.40q, want 0 to %d", fleet.ErrRange, n, name, fleet.MaxSlots)
		}
		for i := range s.Engine.Models {
			if m := &s.Engine.Models[i]; m.GroupSize < 1 || m.GroupSize > fleet.MaxGroupSize {
				return fmt.Errorf("%w: groups of %d for model %.40q, want 1 to %d", fleet.ErrRange, m.GroupSize, m.Name, fleet.MaxGroupSize)
			}
		}
	}
	return nil
}

// HasHomes reports whether any route or team has home regions.
func (c *Catalog) HasHomes() bool {
	for _, r := range c.routes {
		if len(r.Homes) > 0 {
			return true
		}
	}
	for _, t := range c.teams {
		if len(t.Homes) > 0 {
			return true
		}
	}
	return false
}

// Route returns the route of a host with the longest prefix of path, or nil.
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
