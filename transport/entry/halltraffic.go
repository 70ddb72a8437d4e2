package entry

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/apex/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/dispatch"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/gateway"
)

// hallTraffic counts the requests to other data halls and their bytes. It implements gateway.HallTraffic.
type hallTraffic struct {
	metrics metrics.Registry

	mu sync.Mutex
	// byReason, byHall, sent and received count since the last log line.
	byReason       map[gateway.CrossHallReason]int
	byHall         map[state.HallName]int
	sent, received int64
	// gauges are the pools that have a gauge.
	gauges map[dispatch.Pool]bool
}

// RecordCrossing implements gateway.HallTraffic.
func (t *hallTraffic) RecordCrossing(to state.HallName, reason gateway.CrossHallReason, bytes int) {
	metrics.GetOrRegisterCounter("cross-hall.sent."+string(reason), t.metrics).Inc(1)
	metrics.GetOrRegisterCounter("cross-hall.request-bytes", t.metrics).Inc(int64(bytes))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byReason == nil {
		t.byReason, t.byHall = map[gateway.CrossHallReason]int{}, map[state.HallName]int{}
	}
	t.byReason[reason]++
	t.byHall[to]++
	t.sent += int64(bytes)
}

// RecordCrossingResponse implements gateway.HallTraffic.
func (t *hallTraffic) RecordCrossingResponse(bytes int64) {
	metrics.GetOrRegisterCounter("cross-hall.response-bytes", t.metrics).Inc(bytes)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received += bytes
}

// takeFields returns what was counted since the last call as fields of a log line, or nil if no request went to another hall.
func (t *hallTraffic) takeFields() log.Fields {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.byReason) == 0 {
		return nil
	}
	f := log.Fields{"reasons": maps.Clone(t.byReason), "halls": maps.Clone(t.byHall), "request_bytes": t.sent, "response_bytes": t.received}
	clear(t.byReason)
	clear(t.byHall)
	t.sent, t.received = 0, 0
	return f
}

// hallLogInterval is the time between two log lines on the requests to other halls.
const hallLogInterval = 10 * time.Second

// logHalls logs what an operator must know of the halls.
func (n *Node) logHalls(context.Context) {
	n.logHallTraffic()
	n.warnOfUnmappedHall()
}

// unmappedHallKey is the key in Node.loggedOnce for a hall without a region.
type unmappedHallKey state.HallName

// warnOfUnmappedHall logs once that the configuration has home regions and the settings name no region of this node's hall:
// requests with home regions are then never served by instances of this hall.
func (n *Node) warnOfUnmappedHall() {
	c := n.configState.Catalog()
	if c == nil || n.Region(n.settings.Hall) != "" || !c.HasHomes() {
		return
	}
	if _, logged := n.loggedOnce.LoadOrStore(unmappedHallKey(n.settings.Hall), true); !logged {
		n.log.WithField("hall", n.settings.Hall).Warn("hall belongs to no region")
	}
}

// logHallTraffic logs the requests to other halls since the last time, and the plans in force, if there are plans and any
// request went to another hall.
func (n *Node) logHallTraffic() {
	fields := n.hallTraffic.takeFields()
	plans := n.table.HallFractions(n.clock.Now())
	if fields == nil || len(plans) == 0 {
		return
	}
	percents := make(map[string]map[state.HallName]int64, len(plans))
	for pool, fractions := range plans {
		percents[poolName(pool)] = map[state.HallName]int64{}
		for hall, f := range fractions {
			percents[poolName(pool)][hall] = percent(f)
		}
	}
	fields["percent"] = percents
	n.log.WithFields(fields).Info("requests to other halls")
}

// poolName returns the name of a pool in metrics and log lines.
func poolName(p dispatch.Pool) string { return string(p.Service) + "." + p.Model }

// percent returns a fraction in percent.
func percent(f float64) int64 { return int64(math.Round(100 * f)) }

// updateGauges updates the gauges of the fraction of each pool's requests that a plan leaves in a hall, in percent. A pool
// without a plan has no gauge.
func (t *hallTraffic) updateGauges(own state.HallName, plans map[dispatch.Pool]map[state.HallName]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool := range t.gauges {
		if plans[pool] == nil {
			t.metrics.Unregister(localGauge(pool))
			delete(t.gauges, pool)
		}
	}
	for pool, fractions := range plans {
		if t.gauges == nil {
			t.gauges = map[dispatch.Pool]bool{}
		}
		t.gauges[pool] = true
		metrics.GetOrRegisterGauge(localGauge(pool), t.metrics).Update(percent(fractions[own]))
	}
}

// localGauge returns the name of the gauge of the fraction of a pool's requests that stay in this node's hall.
func localGauge(p dispatch.Pool) string { return "cross-hall.local-percent." + poolName(p) }
