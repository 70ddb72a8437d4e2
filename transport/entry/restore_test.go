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

// The platform's store comes back from a copy some seconds old. Offsets go back and are given
// out again, records that nodes have acted on are gone, and records that were replaced show
// again. Nodes that took an offset for an identity or for an order of time went back to what
// the copy shows, or waited at an offset that was no longer there.

// restoreNodes is the number of nodes in these tests.
const restoreNodes = 7

// keyDecoder reads a configuration that is written as VERSION:KEY,KEY.
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
	route := catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Safe, MaxAttempts: 2, Shares: []catalog.Share{{Service: "plain", Weight: 1}}}
	return catalog.New(version, []catalog.Route{route}, []catalog.Service{{Name: "plain"}}, teams, catalog.Limits{}), nil
}

// restorable is a deployment whose store can be restored: nodes before plain instances that
// count what they get.
type restorable struct {
	t       *testing.T
	s       *store
	nodes   []*running
	servers map[string]*httptest.Server
	mu      sync.Mutex
	got     map[string]int
}

// newRestorable starts a deployment with a configuration and some instances, all in the store.
func newRestorable(t *testing.T, config string, instances ...string) *restorable {
	r := &restorable{t: t, s: &store{topics: map[source.Topic][]source.Item{}, era: 1}, servers: map[string]*httptest.Server{}, got: map[string]int{}}
	r.configure(config)
	for _, id := range instances {
		r.serve(id)
		r.list(id)
	}
	for range restoreNodes {
		r.startNode()
	}
	for _, n := range r.nodes {
		r.serves(n, "k", http.StatusOK)
	}
	return r
}

// startNode starts one more node.
func (r *restorable) startNode() *running {
	var seeds []netip.AddrPort
	for _, n := range r.nodes {
		seeds = append(seeds, n.set.Peer)
	}
	ports := entry.Ports{Decoder: keyDecoder{}, Targets: dialTargets{}, Dialect: codec{}}
	tune := func(set *entry.Settings) { set.KeysWithin = 10 * time.Second }
	n := startTuned(r.t, r.s, ports, fmt.Sprint("n", len(r.nodes)), tune, seeds...)
	r.nodes = append(r.nodes, n)
	return n
}

// configure writes a configuration.
func (r *restorable) configure(text string) { r.s.add(source.Configuration, "config", text) }

// serve starts an instance that is not listed.
func (r *restorable) serve(id string) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		r.mu.Lock()
		r.got[id]++
		r.mu.Unlock()
		w.Header().Set("Id", req.Header.Get("Id"))
		_, _ = w.Write(body)
	}))
	r.t.Cleanup(srv.Close)
	r.servers[id] = srv
}

// list writes the entry of an instance.
func (r *restorable) list(id string) {
	r.s.add(source.Instances, id, fleet.Instance{
		ID: state.InstanceID(id), Service: "plain", Slots: 4, Hall: "hall", Address: netip.MustParseAddrPort(r.servers[id].Listener.Addr().String()),
	})
}

// code sends a request with a key to a node and returns the status.
func (r *restorable) code(n *running, key string) int { return status(n.set.Callers, key) }

// serves waits until a node answers a key with a status.
func (r *restorable) serves(n *running, key string, code int) {
	r.t.Helper()
	NewWithT(r.t).Eventually(func() int { return r.code(n, key) }, 10*time.Second, 10*time.Millisecond).Should(Equal(code), n.set.Name)
}

// called sends requests to all nodes for a time and returns which instances got some, and
// how many requests were answered with which status.
func (r *restorable) called(d time.Duration) (got map[string]int, codes map[int]int) {
	r.mu.Lock()
	clear(r.got)
	r.mu.Unlock()
	codes = map[int]int{}
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, n := range r.nodes {
			codes[r.code(n, "k")]++
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	got = map[string]int{}
	for id, n := range r.got {
		got[id] = n
	}
	return got, codes
}

// settleTime is after what time all that a copy lacks has been written again, or is gone.
var settleTime = entry.DefaultPolicy().Node.RestoreSettle + time.Second

// A key was taken away, and a version came, after the copy was made.
func TestNoConfigurationGoesBackWhenTheStoreDoes(t *testing.T) {
	for _, c := range []struct {
		name string
		// between is what the log holds after the restoration before any node reads it.
		between func(r *restorable)
	}{
		{"the old offset is not there", func(*restorable) {}},
		{"the log has grown past the old offset", func(r *restorable) {
			r.configure("1:k,old")
			r.configure("1:k,old")
			r.configure("1:k,old")
		}},
		{"it comes back a second time", func(r *restorable) {
			older := r.s.copy()
			r.configure("2:k,old")
			time.Sleep(300 * time.Millisecond)
			r.s.restore(older)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r := newRestorable(t, "1:k,old", "i0")
			older := r.s.copy()
			r.configure("5:k")
			for _, n := range r.nodes {
				r.serves(n, "old", http.StatusUnauthorized)
			}
			away := r.nodes[restoreNodes-1]
			away.view.setCut(true)
			r.s.restore(older)
			c.between(r)
			for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, n := range r.nodes {
					g.Expect(r.code(n, "old")).NotTo(Equal(http.StatusOK), "a key that was taken away is accepted at %s", n.set.Name)
				}
			}
			away.view.setCut(false)
			// What the operator writes again and anew comes into force on all nodes, also on a new one.
			r.configure("5:k")
			r.configure("6:k,new")
			r.startNode()
			for _, n := range r.nodes {
				r.serves(n, "new", http.StatusOK)
				r.serves(n, "old", http.StatusUnauthorized)
			}
		})
	}
}

// A node that starts just then knows only the copy, until a peer tells it.
func TestANodeThatStartsAfterARestorationKnowsWhatTheOthersKnow(t *testing.T) {
	g := NewWithT(t)
	r := newRestorable(t, "1:k,old", "i0")
	older := r.s.copy()
	r.configure("5:k")
	for _, n := range r.nodes {
		r.serves(n, "old", http.StatusUnauthorized)
	}
	r.s.restore(older)
	n := r.startNode()
	r.serves(n, "old", http.StatusUnauthorized)
	for range 50 {
		g.Expect(r.code(n, "old")).NotTo(Equal(http.StatusOK))
		time.Sleep(20 * time.Millisecond)
	}
}

// One instance came after the copy was made, and writes its entry again only later; another
// one left, and the copy shows it as ready.
func TestInstancesStandAsTheyAreKnownWhenTheListGoesBack(t *testing.T) {
	g := NewWithT(t)
	r := newRestorable(t, "1:k", "stays", "leaves")
	older := r.s.copy()
	r.serve("late")
	r.list("late")
	r.serve("lost")
	r.list("lost")
	r.s.drop(source.Instances, "leaves")
	g.Eventually(func() []string { got, _ := r.called(300 * time.Millisecond); return names(got) }, 10*time.Second).
		Should(ConsistOf("stays", "late", "lost"))

	r.s.restore(older)
	got, codes := r.called(time.Second)
	g.Expect(names(got)).To(ConsistOf("stays", "late", "lost"), "nothing has changed but the store")
	g.Expect(codes).To(HaveLen(1))
	r.list("late")
	r.list("stays")
	got, codes = r.called(settleTime)
	g.Expect(got).NotTo(HaveKey("leaves"))
	g.Expect(codes).To(HaveLen(1))

	// What is not written again within the time is gone; it comes back when it writes.
	g.Eventually(func() []string { got, _ := r.called(300 * time.Millisecond); return names(got) }, 10*time.Second).
		Should(ConsistOf("stays", "late"))
	r.list("lost")
	g.Eventually(func() []string { got, _ := r.called(300 * time.Millisecond); return names(got) }, 10*time.Second).
		Should(ConsistOf("stays", "late", "lost"))
}

// names returns the keys of a map.
func names(m map[string]int) []string {
	var list []string
	for name := range m {
		list = append(list, name)
	}
	return list
}

// Nodes write their entries again, so that one which starts later knows all of them.
func TestNodesWriteTheirEntriesAgain(t *testing.T) {
	g := NewWithT(t)
	empty := copied{}
	r := newRestorable(t, "1:k", "i0")
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
		r.configure("1:k")
		r.list("i0")
		g.Eventually(entries, 10*time.Second).Should(Equal(restoreNodes))
	}
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	g.Expect(len(r.s.topics[source.Nodes])).To(BeNumerically("<=", 2*restoreNodes), "each writes its entry once or twice")
}
