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

// drawn is a history of some nodes, each with a ledger of its own.
type drawn struct {
	nodes []*quarantine.Ledger
	// told is the version of one node's ledger that another was told.
	told map[[2]int]uint64
	now  time.Time
	// delay is that of a message between two nodes, by which the ages that it tells are too low.
	delay time.Duration
}

// tellAll sends the changes of every node to every other node.
func (d *drawn) tellAll() {
	for from := range d.nodes {
		for to := range d.nodes {
			d.tell(from, to, false)
		}
	}
}

// versions returns the versions of all ledgers.
func (d *drawn) versions() []uint64 {
	var list []uint64
	for _, n := range d.nodes {
		_, version := n.Since(0, 0)
		list = append(list, version)
	}
	return list
}

// tell has one node tell another what that one may lack; lost is an answer that never came.
func (d *drawn) tell(from, to int, lost bool) {
	link := [2]int{from, to}
	delta, version := d.nodes[from].Since(d.told[link], quarantine.Source(to+1))
	for i := range delta.Endings {
		delta.Endings[i].At = delta.Endings[i].At.Add(d.delay)
	}
	for i := range delta.Cleared {
		delta.Cleared[i].At = delta.Cleared[i].At.Add(d.delay)
	}
	d.nodes[to].Merge(delta, quarantine.Source(from+1))
	if !lost {
		d.told[link] = version
	}
}

// step draws one event of the history.
func (d *drawn) step(t *rapid.T) {
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
	node := rapid.IntRange(0, len(d.nodes)-1).Draw(t, "node")
	in := fleet.Incarnation{
		ID:   state.InstanceID(fmt.Sprintf("i%d", rapid.IntRange(0, 9).Draw(t, "instance"))),
		Life: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "life")),
	}
	f := request(fmt.Sprintf("r%d", rapid.IntRange(0, 4).Draw(t, "request")))
	switch rapid.IntRange(0, 6).Draw(t, "event") {
	case 0, 1:
		d.nodes[node].Broken(f, []fleet.Incarnation{in}, d.now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "run"))*time.Millisecond), d.now)
	case 2:
		d.nodes[node].Ended(in, d.now)
	case 3:
		d.nodes[node].Broken(f, []fleet.Incarnation{in}, d.now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "run"))*time.Millisecond), d.now)
		d.nodes[node].Ended(in, d.now)
	case 4:
		d.nodes[node].Answered(f, d.now)
	case 5:
		d.nodes[node].Alive(in, d.now)
	case 6:
		d.tell(node, rapid.IntRange(0, len(d.nodes)-1).Draw(t, "to"), rapid.Bool().Draw(t, "lost"))
	}
}

// Whatever is told in which order, twice or with lost answers, nodes that have heard of
// each other conclude the same.
func TestNodesThatHeardOfEachOtherConcludeTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drawn{told: map[[2]int]uint64{}, now: start}
		for range rapid.IntRange(2, 4).Draw(t, "nodes") {
			d.nodes = append(d.nodes, quarantine.NewLedger(quarantine.DefaultPolicy()))
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			d.step(t)
		}
		// What waits for proof here may be proven elsewhere, so that a second round may bring news.
		for range 3 {
			d.tellAll()
		}
		d.now = d.now.Add(time.Second)
		first := d.nodes[0].Verdicts(d.now)
		for i, n := range d.nodes[1:] {
			if v := n.Verdicts(d.now); !reflect.DeepEqual(v, first) {
				t.Fatalf("node %d concludes %v, node 0 %v", i+1, v, first)
			}
		}
	})
}

// Nodes tell each other ages, and each way takes time, so that what is told again comes
// back a little younger. Exchanges come to rest all the same: nothing is told for ever,
// and no ending moves towards the present.
func TestExchangesComeToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &drawn{told: map[[2]int]uint64{}, now: start, delay: time.Duration(rapid.IntRange(1, 60).Draw(t, "way")) * time.Millisecond}
		for range rapid.IntRange(2, 4).Draw(t, "nodes") {
			d.nodes = append(d.nodes, quarantine.NewLedger(quarantine.DefaultPolicy()))
		}
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			d.step(t)
		}
		const rounds = 6
		for range rounds {
			d.tellAll()
		}
		versions := d.versions()
		d.tellAll()
		if again := d.versions(); !slices.Equal(again, versions) {
			t.Fatalf("after %d rounds the versions still change: %v, then %v", rounds, versions, again)
		}
	})
}

// However endings fall, a request is held back only with three of them, at moments
// apart from each other or each sent just after the last, and without a whole answer since.
func TestNothingIsHeldBackForLessThanThreeEndings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := quarantine.DefaultPolicy()
		l := quarantine.NewLedger(p)
		now := start
		var moments, all []time.Time // of the endings in a row under the request, and of all
		endings := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "event") == 0 {
				l.Clear(request("r"), now)
				moments = nil
				now = now.Add(p.Spacing)
				continue
			}
			end(l, fmt.Sprint(i), now.Sub(start), "r", fmt.Sprint("beside ", i))
			sentAfter := func(ended time.Time) bool {
				pause := now.Add(-runTime).Sub(ended)
				return pause >= 0 && pause < p.Spacing
			}
			if len(moments) == 0 || now.Sub(moments[len(moments)-1]) >= p.Spacing || slices.ContainsFunc(all, sentAfter) {
				moments = append(moments, now)
			}
			all = append(all, now)
			endings++
			now = now.Add(p.JudgeInterval)
			v := l.Verdict(request("r"), now)
			want := len(moments)
			if endings < p.Endings-1 {
				want = 0 // no further ending alone would have it held back
			}
			if v.Endings != want || v.Held(now) != (len(moments) >= p.Endings) {
				t.Fatalf("after %d moments of endings the verdict is %+v", len(moments), v)
			}
			if l.Verdict(request(fmt.Sprint("beside ", i)), now).Held(now) {
				t.Fatal("a request under one ending is held back")
			}
		}
	})
}
