package entry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// coldness is what a node knows of cold instances, beside their limits.
type coldness struct {
	// binding tracks where the node gets its grants for cold instances from.
	binding *ratelimit.AllocatorBinding
	// lastStamp is the stamp of the last answer that this node sent as leader.
	lastStamp atomic.Int64
	// leaderHidesCold is set while the leader is of a build that relays no cold times.
	leaderHidesCold atomic.Bool

	// updating serializes updates of the limits, so that none replaces that of a newer state of the instances.
	updating sync.Mutex

	mu sync.Mutex
	// catalog is the configuration whose cold starts the roster has.
	catalog *catalog.Catalog
	// began and ended are the instances that became cold and warm since that was last logged.
	began, ended []fleet.Incarnation
}

// newColdness returns the coldness of a node that has just started. Its earlier process may have had grants until then.
func newColdness(set *Settings, startedAt time.Time) *coldness {
	if set.IsFirstStart {
		startedAt = time.Time{}
	}
	return &coldness{binding: ratelimit.NewAllocatorBinding(startedAt)}
}

// coldViews sets the limits of the cold instances, and returns the instances with their cold times. They have none if the
// settings bound no requests to cold instances.
func (n *Node) coldViews(c *catalog.Catalog, now time.Time) []roster.View {
	if !n.settings.Cold.Enabled() {
		views := n.roster.All(now)
		for i := range views {
			views[i].ColdUntil = time.Time{}
		}
		return views
	}
	n.cold.updating.Lock()
	defer n.cold.updating.Unlock()
	n.setColdStarts(c)
	views := n.roster.All(now)
	var limits []ratelimit.ColdLimit
	for i := range views {
		v := &views[i]
		s := c.Services[v.Service]
		if s == nil || s.ColdPerSecond <= 0 {
			v.ColdUntil = time.Time{}
		} else if now.Before(v.ColdUntil) {
			limits = append(limits, n.settings.Cold.Limit(v.Incarnation(), s.ColdPerSecond, v.ColdUntil))
		}
	}
	n.setCold(limits, now)
	return views
}

// setColdStarts passes the cold starts of a new configuration on to the roster.
func (n *Node) setColdStarts(c *catalog.Catalog) {
	n.cold.mu.Lock()
	defer n.cold.mu.Unlock()
	if n.cold.catalog == c {
		return
	}
	n.cold.catalog = c
	starts := map[state.ServiceName]time.Duration{}
	for name, s := range c.Services {
		if s.ColdStart > 0 && s.ColdPerSecond > 0 {
			starts[name] = s.ColdStart
		}
	}
	n.roster.SetColdStarts(starts)
}

// setCold sets the limits of the cold instances.
func (n *Node) setCold(limits []ratelimit.ColdLimit, now time.Time) {
	began, ended := n.limits.SetCold(limits, now)
	if len(began) > 0 {
		metrics.GetOrRegisterCounter("cold.began", n.metrics).Inc(int64(len(began)))
	}
	if len(began)+len(ended) == 0 {
		return
	}
	n.cold.mu.Lock()
	defer n.cold.mu.Unlock()
	n.cold.began = append(n.cold.began, began...)
	n.cold.ended = append(n.cold.ended, ended...)
}

// HallReadmitted records that the evacuation of a hall has ended, as this node learned at a time. The hall's instances count
// as cold from then on as after a start, unless their entries that are read later say otherwise. Entries that are read
// within a heartbeat interval and coldSettle may have been written before. It must be called before the instances are
// candidates again.
func (n *Node) HallReadmitted(hall state.HallName, at time.Time) {
	c := n.configState.Catalog()
	if c == nil || !n.settings.Cold.Enabled() {
		return
	}
	n.setColdStarts(c)
	n.roster.AssumeHallCold(hall, at.Add(n.settings.HeartbeatInterval+coldSettle), at)
	n.coldViews(c, at)
	n.requestRebuild()
	n.log.WithFields(log.Fields{"hall": hall, "instances": n.limits.ColdCount()}).Info("hall counts as cold")
}

// coldSettle is the time within which a list entry that an instance has written is known to all nodes.
const coldSettle = time.Second

// leaderStamp returns the stamp of an answer to a status report: the time since this node started, in microseconds. Each
// stamp is higher than the one before.
func (n *Node) leaderStamp(now time.Time) int64 {
	at := now.Sub(n.started).Microseconds() + 1
	for {
		last := n.cold.lastStamp.Load()
		next := max(at, last+1)
		if n.cold.lastStamp.CompareAndSwap(last, next) {
			return next
		}
	}
}

// isCounted reports whether a node that reports to this one counts toward the share of the limits of cold instances that
// this node allocates.
func (n *Node) isCounted(w *StatusReport, now time.Time) bool {
	if w.Binding == nil || w.Feed != n.incarnationNumber.Load() {
		return false
	}
	answeredAt := n.started.Add(time.Duration(w.Binding.Echo) * time.Microsecond)
	return w.Binding.IsCounted(answeredAt, &n.settings.Policy.RateLimit, now)
}

// echoOf returns the stamp of this node's last answer that a report confirms.
func (n *Node) echoOf(w *StatusReport) int64 {
	if w.Binding == nil || w.Feed != n.incarnationNumber.Load() {
		return 0
	}
	return w.Binding.Echo
}

// addBinding adds to a status report where the node gets its grants for cold instances from. It must be called before the
// usage is read, since a leader takes the usage to include all grants up to the echoed answer.
func (n *Node) addBinding(w *StatusReport, now time.Time) {
	if !n.settings.Cold.Enabled() {
		return
	}
	s := n.cold.binding.State(w.Feed, &n.settings.Policy.RateLimit, now)
	w.Binding = &s
}

// coldShareAlone returns the share of the limits of cold instances that a node without a leader allocates to itself. If it
// would never amount to a grant, the node does not claim it, so that a new leader can count the node at once.
func (n *Node) coldShareAlone(limits []ratelimit.Limit, nodes int, now time.Time) float64 {
	share := 1 / float64(max(nodes, 1))
	p := &n.settings.Policy.RateLimit
	if !slices.ContainsFunc(limits, func(l ratelimit.Limit) bool { return p.CanIssue(&l, share) }) {
		return 0
	}
	if !n.cold.binding.IsAlone(p, now) || !n.isSettled(now) {
		return 0
	}
	return share
}

// isSettled records that this node allocates by itself, and reports whether no other one counts it any more.
func (n *Node) isSettled(now time.Time) bool {
	n.cold.binding.Follow(ratelimit.OwnAllocator, 1, now)
	return n.cold.binding.State(ratelimit.OwnAllocator, &n.settings.Policy.RateLimit, now).Settled
}

// limitsToAllocate returns the limits in force without those of cold instances that get no requests: the members of groups
// that are not open heads.
func (n *Node) limitsToAllocate(now time.Time) []ratelimit.Limit {
	list := n.limits.InForce(now)
	if n.limits.ColdCount() == 0 {
		return list
	}
	c := n.configState.Catalog()
	return slices.DeleteFunc(list, func(l ratelimit.Limit) bool {
		if l.Cause != ratelimit.CauseCold {
			return false
		}
		in := n.instance(l.Instance.ID)
		hasGroups := c != nil && c.Services[in.Service] != nil && c.Services[in.Service].Engine != nil
		return hasGroups && (in.Membership.Rank != 0 || in.Membership.State != fleet.Open)
	})
}

// hidesCold reports whether answers to a node of a build without cold instances must keep it away from them.
func (n *Node) hidesCold(w *StatusReport) bool {
	return w.Protocol < protocolColdInstances && n.limits.ColdCount() > 0
}

// hideCold changes an answer so that a node of a build without cold instances sends nothing to them.
func (n *Node) hideCold(a *StatusAnswer, now time.Time) {
	cold := slices.DeleteFunc(n.limits.InForce(now), func(l ratelimit.Limit) bool { return l.MaxInSecond == 0 })
	n.hide(a, cold)
}

// maxColdLogged is the largest number of instances that one log line names.
const maxColdLogged = 8

// logCold logs the instances that have become cold or warm since the last call, and updates the gauge of cold instances.
func (n *Node) logCold(now time.Time) {
	if c := n.configState.Catalog(); c != nil && n.limits.ColdCount() > 0 {
		n.coldViews(c, now)
	}
	metrics.GetOrRegisterGauge("cold.instances", n.metrics).Update(int64(n.limits.ColdCount()))
	n.cold.mu.Lock()
	began, ended := n.cold.began, n.cold.ended
	n.cold.began, n.cold.ended = nil, nil
	n.cold.mu.Unlock()
	n.logColdChange("cold instances began", began)
	n.logColdChange("cold instances ended", ended)
}

// logColdChange logs that instances have become cold or warm, in one line.
func (n *Node) logColdChange(message string, list []fleet.Incarnation) {
	if len(list) == 0 {
		return
	}
	halls := map[state.HallName]int{}
	named := make([]state.InstanceID, 0, maxColdLogged)
	for _, in := range list {
		halls[n.instance(in.ID).Hall]++
		if len(named) < maxColdLogged {
			named = append(named, in.ID)
		}
	}
	n.log.WithFields(log.Fields{"count": len(list), "halls": slices.Sorted(maps.Keys(halls)), "instances": named}).Info(message)
}
