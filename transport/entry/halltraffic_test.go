package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/transport/gateway"
)

// counter returns the value of a node's counter.
func counter(n *Node, name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.metrics).Count()
}

// However many requests go to other halls, they must add up to one log line for each interval, and none where requests are
// not divided among halls.
func TestRequestsToOtherHallsShareOneLogLine(t *testing.T) {
	for _, c := range []struct {
		name  string
		delay time.Duration
		lines int
	}{{"halls far from each other", 3 * time.Millisecond, 1}, {"halls close to each other", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newHallNode(g, 1, "near", c.delay, clockwork.NewFakeClock())
			logs := memory.New()
			n.log = &log.Logger{Handler: logs, Level: log.InfoLevel}
			for range 500 {
				n.hallTraffic.RecordCrossing("far", gateway.CrossHallBalance, 100)
				n.hallTraffic.RecordCrossingResponse(1000)
			}
			n.hallTraffic.RecordCrossing("far", gateway.CrossHallFull, 1)
			flows := []demand.HallFlow{{Service: "lm", Model: "m", Requests: map[state.HallName]float64{"near": 5, "far": 5}}}
			n.updateHalls(flows)
			for range 3 {
				n.logHalls(t.Context())
			}
			g.Expect(logs.Entries).To(HaveLen(c.lines))
			g.Expect(counter(n, "cross-hall.sent.balance")).To(Equal(int64(500)))
			g.Expect(counter(n, "cross-hall.sent.full")).To(Equal(int64(1)))
			g.Expect(counter(n, "cross-hall.request-bytes")).To(Equal(int64(50_001)))
			g.Expect(counter(n, "cross-hall.response-bytes")).To(Equal(int64(500_000)))
			gauge := n.metrics.Get("cross-hall.local-percent.lm.m")
			if c.lines == 0 {
				g.Expect(gauge).To(BeNil())
				return
			}
			g.Expect(json.New(io.Discard).HandleLog(logs.Entries[0])).To(Succeed())
			g.Expect(fmt.Sprint(logs.Entries[0].Fields["reasons"])).To(Equal("map[balance:500 full:1]"))
			g.Expect(gauge.(metrics.Gauge).Value()).To(Equal(int64(100)))
			n.updateHalls(nil)
			g.Expect(n.metrics.Get("cross-hall.local-percent.lm.m")).To(BeNil(), "no plan any more")
		})
	}
}

// homesConfiguration decodes every record as a configuration with a team that has a home region.
type homesConfiguration struct{ anyConfiguration }

func (homesConfiguration) Catalog([]byte) (*catalog.Catalog, error) {
	return catalog.New(1, nil, nil, map[string]*catalog.Team{"k": {Name: "t", Homes: []state.RegionName{"north"}}}, catalog.Limits{}), nil
}

// A hall that is missing in the settings is no home for anyone. An operator must find that in the log, once.
func TestHallWithoutRegionIsLoggedOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		decoder Decoder
		regions map[state.HallName]state.RegionName
		lines   int
	}{
		{"home regions, no region of the hall", homesConfiguration{}, nil, 1},
		{"home regions, a region of the hall", homesConfiguration{}, map[state.HallName]state.RegionName{"hall": "north"}, 0},
		{"no home regions", anyConfiguration{}, nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			logs := memory.New()
			set := &Settings{Name: "own", Hall: "hall", PeerAddress: testAddress(1), Regions: c.regions, Policy: DefaultPolicy()}
			n := New(set, Ports{Decoder: c.decoder}, clockwork.NewFakeClock(), &log.Logger{Handler: logs, Level: log.InfoLevel})
			g.Expect(n.configState.Apply([]byte("x"))).Error().NotTo(HaveOccurred())
			for range 3 {
				n.logHalls(t.Context())
			}
			g.Expect(logs.Entries).To(HaveLen(c.lines))
		})
	}
}
