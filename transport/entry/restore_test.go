package entry_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
	"github.com/troutmast/troutmast/transport/entry"
)

// These tests restore the platform's store from a backup that is some seconds old. Offsets go
// back and are assigned again, records that nodes have acted on are missing, and replaced
// records reappear. A node that uses an offset as an identity, or to order records in time,
// returns to the state of the backup, or waits at an offset that no longer exists.

// restoreNodes is the number of nodes in each test.
const restoreNodes = 7

// keyDecoder reads a configuration of the form VERSION:KEY,KEY.
type keyDecoder struct{ decoder }

func (keyDecoder) Catalog(raw []byte) (*catalog.Catalog, error) {
	text, err := strconv.Unquote(string(raw))
	number, keys, found := strings.Cut(text, ":")
	version, numberErr := strconv.ParseInt(number, 10, 64)
	if err != nil || numberErr != nil || !found {
		return nil, errors.New("unreadable")
	}
	teams := map[string]*catalog.Team{}
	for key := range strings.SplitSeq(keys, ",") {
		teams[key] = &catalog.Team{Name: "t"}
	}
	route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Safe, MaxAttempts: 2, Shares: []catalog.WeightedService{{Service: "plain", Weight: 1}}}
	return catalog.New(version, []catalog.Route{route}, []catalog.Service{{Name: "plain"}}, teams, catalog.Limits{}), nil
}

// deployment is a set of nodes and plain instances whose store can be restored. The instances
// count their requests.
type deployment struct {
	t        *testing.T
	s        *store
	nodes    []*running
	servers  map[string]*httptest.Server
	mu       sync.Mutex
	requests map[string]int
}

// newDeployment starts a deployment whose store holds a configuration and the given instances.
func newDeployment(t *testing.T, config string, instances ...string) *deployment {
	r := &deployment{t: t, s: &store{topics: map[source.Topic][]source.Item{}, era: 1}, servers: map[string]*httptest.Server{}, requests: map[string]int{}}
	r.writeConfig(config)
	for _, id := range instances {
		r.startInstance(id)
		r.listInstance(id)
	}
	for range restoreNodes {
		r.startNode()
	}
	for _, n := range r.nodes {
		r.waitForStatus(n, "k", http.StatusOK)
	}
	return r
}

// startNode adds a node.
func (r *deployment) startNode() *running {
	var seeds []netip.AddrPort
	for _, n := range r.nodes {
		seeds = append(seeds, n.set.PeerAddress)
	}
	ports := entry.Ports{Decoder: keyDecoder{}, Target: dialTargets{}, HeaderCodec: codec{}}
	tune := func(set *entry.Settings) { set.MaxKeyAge = 10 * time.Second }
	n := startTuned(r.t, r.s, ports, fmt.Sprint("n", len(r.nodes)), tune, seeds...)
	r.nodes = append(r.nodes, n)
	return n
}

// writeConfig writes a configuration.
func (r *deployment) writeConfig(text string) { r.s.add(source.Configuration, "config", text) }

// startInstance starts an instance without listing it.
func (r *deployment) startInstance(id string) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		r.mu.Lock()
		r.requests[id]++
		r.mu.Unlock()
		w.Header().Set("Id", req.Header.Get("Id"))
		_, _ = w.Write(body)
	}))
	r.t.Cleanup(srv.Close)
	r.servers[id] = srv
}

// listInstance writes the entry of an instance.
func (r *deployment) listInstance(id string) {
	r.s.add(source.Instances, id, fleet.Instance{
		ID: state.InstanceID(id), Service: "plain", Slots: 4, Hall: "hall", Address: netip.MustParseAddrPort(r.servers[id].Listener.Addr().String()),
	})
}

// statusCode sends a request with a key to a node and returns the status code.
func (r *deployment) statusCode(n *running, key string) int { return status(n.set.CallerAddress, key) }

// waitForStatus waits until a node answers requests with a key with the given status code.
func (r *deployment) waitForStatus(n *running, key string, code int) {
	r.t.Helper()
	NewWithT(r.t).Eventually(func() int { return r.statusCode(n, key) }, 10*time.Second, 10*time.Millisecond).Should(Equal(code), n.set.Name)
}

// sendRequests sends requests to all nodes for a time. It returns the number of requests by
// instance, and the number of responses by status code.
func (r *deployment) sendRequests(d time.Duration) (got map[string]int, codes map[int]int) {
	r.mu.Lock()
	clear(r.requests)
	r.mu.Unlock()
	codes = map[int]int{}
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, n := range r.nodes {
			codes[r.statusCode(n, "k")]++
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	got = map[string]int{}
	for id, n := range r.requests {
		got[id] = n
	}
	return got, codes
}

// settleTime is the time after a restoration until the records that the backup lacks have been
// written again, or are given up.
var settleTime = entry.DefaultPolicy().Node.RestoreSettle + time.Second

// A key is revoked, by a new version of the configuration, after the backup is made.
func TestRestorationDoesNotRevertConfiguration(t *testing.T) {
	for _, c := range []struct {
		name string
		// afterRestore changes the log after the restoration.
		afterRestore func(r *deployment)
	}{
		{"the old offset is missing", func(*deployment) {}},
		{"the log has grown past the old offset", func(r *deployment) {
			r.writeConfig("1:k,old")
			r.writeConfig("1:k,old")
			r.writeConfig("1:k,old")
		}},
		{"the store is restored a second time", func(r *deployment) {
			backup := r.s.copy()
			r.writeConfig("2:k,old")
			time.Sleep(300 * time.Millisecond)
			r.s.restore(backup)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r := newDeployment(t, "1:k,old", "i0")
			backup := r.s.copy()
			r.writeConfig("5:k")
			for _, n := range r.nodes {
				r.waitForStatus(n, "old", http.StatusUnauthorized)
			}
			isolated := r.nodes[restoreNodes-1]
			isolated.view.setCut(true)
			r.s.restore(backup)
			c.afterRestore(r)
			for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, n := range r.nodes {
					g.Expect(r.statusCode(n, "old")).NotTo(Equal(http.StatusOK), "node %s accepts a revoked key", n.set.Name)
				}
			}
			isolated.view.setCut(false)
			// A configuration that the operator writes after the restoration takes effect on all nodes,
			// a new one included.
			r.writeConfig("5:k")
			r.writeConfig("6:k,new")
			r.startNode()
			for _, n := range r.nodes {
				r.waitForStatus(n, "new", http.StatusOK)
				r.waitForStatus(n, "old", http.StatusUnauthorized)
			}
		})
	}
}

// A node that starts right after the restoration knows only the backup, until a peer sends it
// the current configuration.
func TestNodeStartedAfterRestorationGetsConfigurationFromPeers(t *testing.T) {
	g := NewWithT(t)
	r := newDeployment(t, "1:k,old", "i0")
	backup := r.s.copy()
	r.writeConfig("5:k")
	for _, n := range r.nodes {
		r.waitForStatus(n, "old", http.StatusUnauthorized)
	}
	r.s.restore(backup)
	n := r.startNode()
	r.waitForStatus(n, "old", http.StatusUnauthorized)
	for range 50 {
		g.Expect(r.statusCode(n, "old")).NotTo(Equal(http.StatusOK))
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitSettledEra waits until the leader has recorded that the store's era has settled.
func (r *deployment) awaitSettledEra() {
	r.t.Helper()
	settled := func() int {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		return len(r.s.topics[source.Eras])
	}
	NewWithT(r.t).Eventually(settled, 10*time.Second, 10*time.Millisecond).Should(BeNumerically(">", 0))
}

// replaceNodes ends all nodes, calls between, and starts as many.
func (r *deployment) replaceNodes(between func()) {
	r.t.Helper()
	ended := r.nodes
	for _, n := range ended {
		n.stop()
	}
	for _, n := range ended {
		r.waitForStatus(n, "k", 0)
	}
	r.nodes = nil
	between()
	for range ended {
		r.startNode()
	}
}

// Guards against a revoked key: all nodes start right after the restoration, so that none knows of the earlier era.
func TestNodesStartedAfterRestorationAcceptNoRevokedKey(t *testing.T) {
	g := NewWithT(t)
	r := newDeployment(t, "1:k,old", "i0")
	r.awaitSettledEra()
	backup := r.s.copy()
	r.writeConfig("5:k")
	for _, n := range r.nodes {
		r.waitForStatus(n, "old", http.StatusUnauthorized)
	}
	r.replaceNodes(func() { r.s.restore(backup) })
	for end := time.Now().Add(1800 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range r.nodes {
			g.Expect(r.statusCode(n, "old")).NotTo(Equal(http.StatusOK), "node %s accepts a revoked key", n.set.Name)
		}
	}
	r.writeConfig("5:k")
	for _, n := range r.nodes {
		r.waitForStatus(n, "old", http.StatusUnauthorized)
		r.waitForStatus(n, "k", http.StatusOK)
	}
}

// Nodes that all start at once in a store that has not been restored must not wait until its era has settled.
func TestNodesStartedTogetherTrustKeysOfSettledEra(t *testing.T) {
	g := NewWithT(t)
	r := newDeployment(t, "1:k", "i0")
	r.awaitSettledEra()
	r.replaceNodes(func() {})
	startedAt := time.Now()
	for _, n := range r.nodes {
		r.waitForStatus(n, "k", http.StatusOK)
	}
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", entry.DefaultPolicy().Node.RestoreSettle/2))
}

// The instance list is restored from a backup. It lacks two instances that joined after it was
// made, one of which writes its entry again only after the settle time, and it lists as ready an
// instance that has left.
func TestRestorationDoesNotRevertInstances(t *testing.T) {
	g := NewWithT(t)
	r := newDeployment(t, "1:k", "stays", "leaves")
	backup := r.s.copy()
	r.startInstance("late")
	r.listInstance("late")
	r.startInstance("lost")
	r.listInstance("lost")
	r.s.drop(source.Instances, "leaves")
	g.Eventually(func() []string { got, _ := r.sendRequests(300 * time.Millisecond); return instanceNames(got) }, 10*time.Second).
		Should(ConsistOf("stays", "late", "lost"))

	r.s.restore(backup)
	got, codes := r.sendRequests(time.Second)
	g.Expect(instanceNames(got)).To(ConsistOf("stays", "late", "lost"), "only the store has changed, not the instances")
	g.Expect(codes).To(HaveLen(1))
	r.listInstance("late")
	r.listInstance("stays")
	got, codes = r.sendRequests(settleTime)
	g.Expect(got).NotTo(HaveKey("leaves"))
	g.Expect(codes).To(HaveLen(1))

	// An instance that does not write its entry again within the settle time is dropped; it
	// returns once it does.
	g.Eventually(func() []string { got, _ := r.sendRequests(300 * time.Millisecond); return instanceNames(got) }, 10*time.Second).
		Should(ConsistOf("stays", "late"))
	r.listInstance("lost")
	g.Eventually(func() []string { got, _ := r.sendRequests(300 * time.Millisecond); return instanceNames(got) }, 10*time.Second).
		Should(ConsistOf("stays", "late", "lost"))
}

// instanceNames returns the keys of a map.
func instanceNames(m map[string]int) []string {
	var list []string
	for name := range m {
		list = append(list, name)
	}
	return list
}

// Nodes write their entries again after a restoration, so that a node that starts later knows
// all of them.
func TestNodesRewriteEntriesAfterRestoration(t *testing.T) {
	g := NewWithT(t)
	empty := copied{}
	r := newDeployment(t, "1:k", "i0")
	entries := func() int {
		r.s.mu.Lock()
		defer r.s.mu.Unlock()
		seen := map[string]bool{}
		for _, item := range r.s.topics[source.Nodes] {
			seen[item.Key] = true
		}
		return len(seen)
	}
	g.Eventually(entries, 5*time.Second).Should(Equal(restoreNodes))
	for range 2 {
		r.s.restore(empty)
		g.Expect(entries()).To(BeZero())
		r.writeConfig("1:k")
		r.listInstance("i0")
		g.Eventually(entries, 10*time.Second).Should(Equal(restoreNodes))
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	g.Expect(len(r.s.topics[source.Nodes])).To(BeNumerically("<=", 2*restoreNodes), "each node should write its entry at most twice")
}
