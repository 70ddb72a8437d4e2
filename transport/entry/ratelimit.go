package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// toldLimit records what an answer to this node, sent for at a time, said of its instance's rate limit.
func (n *Node) toldLimit(in *fleet.Instance, said fleet.RateLimit, request string, sent time.Time) {
	if said.Fault != nil {
		n.Count("rate-limit.unreadable")
		if _, known := n.garbled.LoadOrStore(badLimit(in.Incarnation()), true); !known {
			n.log.WithError(said.Fault).WithField("instance", in.ID).Warn("rate limit not read")
		}
	}
	if said.Limited {
		n.Count("rate-limit.named")
	}
	n.limitChanged(n.limits.Observe(in.Incarnation(), said, sent, n.clock.Now()), in, said.PerSecond, log.Fields{"request": request})
}

// badLimit keys the lives of instances whose limits cannot be read.
type badLimit fleet.Incarnation

// limitChanged logs a change of what is known of an instance's rate limit, and who told it.
func (n *Node) limitChanged(change ratelimit.Change, in *fleet.Instance, perSecond float64, by log.Fields) {
	if change == ratelimit.Unchanged {
		return
	}
	n.Count("rate-limit." + string(change))
	fields := log.Fields{"instance": in.ID, "service": in.Service, "group": in.Membership.Group}
	if change != ratelimit.Stopped {
		fields["per_second"] = perSecond
	}
	n.log.WithFields(fields).WithFields(by).Info("rate limit " + string(change))
}

// sweepLimits forgets what is no longer needed of rate limits, and counts those in force.
func (n *Node) sweepLimits() {
	now := n.clock.Now()
	n.limits.Sweep(now, func(in fleet.Incarnation) bool {
		v, known := n.roster.Get(in.ID, now)
		return known && !v.Incarnation().LaterThan(in)
	})
	metrics.GetOrRegisterGauge("rate-limit.active", n.metrics).Update(int64(len(n.limits.InForce())))
}

// limitState is one rate limit, as an operator sees it.
type limitState struct {
	Instance  state.InstanceID `json:"instance"`
	PerSecond float64          `json:"per_second"`
	SinceMS   int64            `json:"since_ms"`
	// SaidMS is how long ago the instance last named the limit to this node or, when it last changed, to another.
	SaidMS int64 `json:"said_ms"`
}

// serveLimits lists the instances that take only so many requests a second.
func (n *Node) serveLimits(w http.ResponseWriter, _ *http.Request) {
	now := n.clock.Now()
	list := []limitState{}
	for _, l := range n.limits.InForce() {
		list = append(list, limitState{
			Instance: l.Instance.ID, PerSecond: l.PerSecond, SinceMS: now.Sub(l.Since).Milliseconds(), SaidMS: now.Sub(l.Answered).Milliseconds(),
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.log.WithError(err).Info("list of rate limits not written")
	}
}
