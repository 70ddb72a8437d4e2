package quarantine_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// randomHistory is a random history of some nodes, each with its own ledger.
type randomHistory struct {
	nodes []*quarantine.Ledger
	// received holds the version of one node's ledger that another one has received.
	received map[[2]int]uint64
	now      time.Time
	// delay is the delay of a message between two nodes, by which the ages in it are too low.
	delay time.Duration
}

// sendAll sends the changes of every node to every other node.
func (d *randomHistory) sendAll() {
	for from := range d.nodes {
		for to := range d.nodes {
			d.send(from, to, false)
		}
	}
}

// versions returns the versions of all ledgers.
func (d *randomHistory) versions() []uint64 {
	var list []uint64
	for _, n := range d.nodes {
		_, version := n.ChangesSince(0, 0)
		list = append(list, version)
	}
	return list
}

// send sends one node the changes of another. If lost is set, the sender does not learn that they
// arrived.
func (d *randomHistory) send(from, to int, lost bool) {
	link := [2]int{from, to}
	delta, version := d.nodes[from].ChangesSince(d.received[link], quarantine.Source(to+1))
	for i := range delta.Endings {
		delta.Endings[i].At = delta.Endings[i].At.Add(d.delay)
	}
	for i := range delta.Cleared {
		delta.Cleared[i].At = delta.Cleared[i].At.Add(d.delay)
	}
	d.nodes[to].Merge(delta, quarantine.Source(from+1))
	if !lost {
		d.received[link] = version
	}
}

// step generates one random event of the history.
func (d *randomHistory) step(t *rapid.T) {
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	node := rapid.IntRange(0, len(d.nodes)-1).Draw(t, "node")
	in := fleet.Incarnation{
		ID:   state.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 9).Draw(t, "instance"))),
		Life: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "life")),
	}
	f := request(fmt.Sprintf("r%d", rapid.IntRange(0, 4).Draw(t, "request")))
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		d.nodes[node].RecordInterruption(quarantine.Request{Fingerprint: f}, []fleet.Incarnation{in}, d.now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "run"))*time.Millisecond), d.now)
	case 2:
		d.nodes[node].RecordEnding(in, d.now)
	case 3:
		d.nodes[node].RecordInterruption(quarantine.Request{Fingerprint: f}, []fleet.Incarnation{in}, d.now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "run"))*time.Millisecond), d.now)
		d.nodes[node].RecordEnding(in, d.now)
	case 4:
		d.nodes[node].RecordComplete(quarantine.Request{Fingerprint: f}, d.now)
	case 5:
		d.nodes[node].RecordProbeResponse(in, d.now)
	case 6:
		d.send(node, rapid.IntRange(0, len(d.nodes)-1).Draw(t, "to"), rapid.Bool().Draw(t, "lost"))
	}
}

// Nodes that have exchanged their ledgers reach the same verdicts, whatever the order of the
// exchanges, and also with repeated exchanges and lost responses.
func TestNodesConvergeOnSameVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &randomHistory{received: map[[2]int]uint64{}, now: start}
		for range rapid.IntRange(2, 4).Draw(t, "nodes") {
			d.nodes = append(d.nodes, quarantine.NewLedger(quarantine.DefaultPolicy()))
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			d.step(t)
		}
		// An interruption without proof at one node may be proven at another, so that a second
		// round may bring changes.
		for range 3 {
			d.sendAll()
		}
		d.now = d.now.Add(time.Second)
		first := d.nodes[0].Verdicts(d.now)
		for i, n := range d.nodes[1:] {
			if v := n.Verdicts(d.now); !reflect.DeepEqual(v, first) {
				t.Fatalf("node %d has verdicts %v, node 0 has %v", i+1, v, first)
			}
		}
	})
}

// Nodes exchange ages, and each message is delayed, so that an entry that is sent back looks
// younger. Exchanges must converge all the same: no entry is sent for ever, and no ending moves
// towards the present.
func TestExchangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &randomHistory{received: map[[2]int]uint64{}, now: start, delay: time.Duration(rapid.IntRange(1, 60).Draw(t, "way")) * time.Millisecond}
		for range rapid.IntRange(2, 4).Draw(t, "nodes") {
			d.nodes = append(d.nodes, quarantine.NewLedger(quarantine.DefaultPolicy()))
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			d.step(t)
		}
		const rounds = 6
		for range rounds {
			d.sendAll()
		}
		versions := d.versions()
		d.sendAll()
		if again := d.versions(); !slices.Equal(again, versions) {
			t.Fatalf("after %d rounds the versions still change: %v, then %v", rounds, versions, again)
		}
	})
}

// A request is quarantined only after three endings without a complete response in between. Each of
// them is separated from the previous one by the spacing, or comes during an attempt sent just
// after an ending.
func TestFewerThanThreeEndingsQuarantineNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := quarantine.DefaultPolicy()
		l := quarantine.NewLedger(p)
		now := start
		var independent, all []time.Time // of the consecutive endings that count against the request, and of all endings
		endings := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				l.Clear(request("r"), now)
				independent = nil
				now = now.Add(p.Spacing)
				continue
			}
			endInstance(l, fmt.Sprint(i), now.Sub(start), "r", fmt.Sprint("beside ", i))
			sentAfter := func(ended time.Time) bool {
				pause := now.Add(-runTime).Sub(ended)
				return pause >= 0 && pause < p.Spacing
			}
			if len(independent) == 0 || now.Sub(independent[len(independent)-1]) >= p.Spacing || slices.ContainsFunc(all, sentAfter) {
				independent = append(independent, now)
			}
			all = append(all, now)
			endings++
			now = now.Add(p.EvaluationInterval)
			v := l.Verdict(request("r"), now)
			want := len(independent)
			if endings < p.Endings-1 {
				want = 0 // one more ending could not quarantine the request
			}
			if v.IndependentEndings != want || v.Quarantined(now) != (len(independent) >= p.Endings) {
				t.Fatalf("after %d independent endings the verdict is %+v", len(independent), v)
			}
			if l.Verdict(request(fmt.Sprint("beside ", i)), now).Quarantined(now) {
				t.Fatal("a request with a single ending is quarantined")
			}
		}
	})
}
