package entry_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/entry"
)

// coldDecoder returns a configuration with a plain service whose instances may be cold.
type coldDecoder struct{ limitDecoder }

func (coldDecoder) Catalog([]byte) (*catalog.Catalog, error) {
	service := catalog.Service{Name: "lm", ColdStart: 3 * time.Second, ColdPerSecond: 26}
	route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Safe, MaxAttempts: 2, Shares: []catalog.WeightedService{{Service: "lm", Weight: 1}}}
	return catalog.New(1, []catalog.Route{route}, []catalog.Service{service}, map[string]*catalog.Team{"k": {Name: "t"}}, catalog.Limits{}), nil
}

// startColdInstance starts one more instance and lists it as cold for a time.
func startColdInstance(t *testing.T, s *store, set *limitedInstances, left time.Duration) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { set.serve(w, r, "new", false) }))
	t.Cleanup(srv.Close)
	s.add(source.Instances, "new", fleet.Instance{
		ID: "new", Service: "lm", Slots: 64, Hall: "hall", Domain: "d", Address: netip.MustParseAddrPort(srv.Listener.Addr().String()), ColdLeft: left,
	})
}

// An instance starts under traffic. It is idle, so that all nodes prefer it, and it is cold: together they send it no more
// requests in any second than the bound allows, until it is warm. The requests that the other instances can serve are not refused.
func TestInstanceThatStartsColdIsNotFlooded(t *testing.T) {
	const cold = 4 * time.Second
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	instances := newLimitedInstances(t, s, 3, 0, 0)
	nodes := startServingTuned(t, s, 9, func(name string) entry.Ports {
		return entry.Ports{Decoder: coldDecoder{}, Target: limitTargets{}, HeaderCodec: limitDialect{nodeCodec{id: name}}}
	}, func(set *entry.Settings) { set.Cold = ratelimit.ColdBound{Excess: 1.5, Slack: 5} })
	const perSecond = 240
	sendUneven(nodes, perSecond, 2*time.Second, anyNode)
	startColdInstance(t, s, instances, cold)
	listed := time.Now()
	out := sendUneven(nodes, perSecond, cold, anyNode)
	most, arrivals := 0, instances.callsSince("new", listed)
	instances.mu.Lock()
	for _, end := range instances.arrivals["new"] {
		inSecond := 0
		for _, at := range instances.arrivals["new"] {
			if d := end.Sub(at); d >= 0 && d < time.Second {
				inSecond++
			}
		}
		most = max(most, inSecond)
	}
	instances.mu.Unlock()
	t.Logf("at most %d requests in a second, 44 allowed; %.2f of the rate used; status codes %v", most, float64(arrivals)/26/cold.Seconds(), out.codes)
	g.Expect(most).To(BeNumerically("<=", 44))
	g.Expect(arrivals).To(BeNumerically(">", 20), "the instance should get requests while it is cold")
	g.Expect(out.codes).To(HaveLen(1), "the warm instances should absorb the other requests")
	warm := time.Now().Add(time.Second)
	time.Sleep(time.Until(warm))
	out = sendUneven(nodes, perSecond, 2*time.Second, anyNode)
	sent := 0
	for _, n := range out.codes {
		sent += n
	}
	got := instances.callsSince("new", warm)
	t.Logf("%d of %d requests once it is warm", got, sent)
	g.Expect(got).To(BeNumerically(">", min(80, sent/5)), "a quarter of the requests once it is warm")
}
