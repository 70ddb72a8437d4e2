package upgrade

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/platform/standin"
)

// made is a made-up run of 60 s with two nodes and what its workers saw; times are seconds of the run.
type made struct {
	began  time.Time
	judge  *judge
	number int
}

// newMade returns a run in which nothing happened.
func newMade() *made {
	began := time.Unix(1000, 0)
	r := &run{began: began, calmSince: began.Add(54 * time.Second)}
	for i := range 2 {
		r.nodes = append(r.nodes, &node{machine: standin.Machine{Name: fmt.Sprint("node-", i)}})
	}
	return &made{began: began, judge: &judge{run: r, report: &Report{}}}
}

// at returns a time of the run.
func (m *made) at(s float64) time.Time { return m.began.Add(time.Duration(s * float64(time.Second))) }

// change notes that something was under way.
func (m *made) change(from, to float64, c change) {
	c.at, c.until = m.at(from), m.at(to)
	m.judge.changes = append(m.judge.changes, c)
}

// evacuated notes an evacuation of the first hall.
func (m *made) evacuated(from, to float64) {
	m.change(from, to, change{what: halls[0], trouble: evacuating})
}

// arrives has a request of a node reach worker i-1.
func (m *made) arrives(s float64, node, hall string, cold bool) standin.Event {
	m.number++
	e := standin.Event{At: m.at(s), Kind: standin.Arrived, Worker: "i-1", Request: fmt.Sprintf("%s.%d", node, m.number), Hall: hall, Cold: cold}
	m.judge.events = append(m.judge.events, e)
	return e
}

// rejected has the worker answer a request as misdirected.
func (m *made) rejected(e standin.Event) {
	e.Kind = standin.Misdirected
	m.judge.events = append(m.judge.events, e)
}

// Guards against a check that overlooks requests in an evacuated hall, or that blames nodes without contact.
func TestJudgeFindsRequestsInEvacuatedHall(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(m *made)
		want string
	}{
		{"a moment before the bound", func(m *made) { m.arrives(14.99, "node-0", "hall-a", false) }, ""},
		{"at the bound", func(m *made) { m.arrives(15, "node-0", "hall-a", false) }, "node-0.1 reached i-1 in hall-a, evacuated for 5s"},
		{"right before the deletion", func(m *made) { m.arrives(29.99, "node-0", "hall-a", false) }, "evacuated for 19.99s"},
		{"after the deletion", func(m *made) { m.arrives(30, "node-0", "hall-a", false) }, ""},
		{"in the other hall", func(m *made) { m.arrives(20, "node-0", "hall-b", false) }, ""},
		{"answered as misdirected", func(m *made) { m.rejected(m.arrives(20, "node-0", "hall-a", false)) }, ""},
		{"another one answered as misdirected", func(m *made) {
			m.rejected(m.arrives(20, "node-0", "hall-a", false))
			m.arrives(20, "node-0", "hall-a", false)
		}, "node-0.2 reached"},
		{"store down", func(m *made) {
			m.change(17, 18.5, change{trouble: storeOutage, what: "store"})
			m.arrives(20, "node-0", "hall-a", false)
		}, ""},
		{"store down some time before", func(m *made) {
			m.change(10, 11.5, change{trouble: storeOutage, what: "store"})
			m.arrives(19.6, "node-0", "hall-a", false)
		}, "reached"},
		{"store restored", func(m *made) {
			m.change(16, 20, change{trouble: storeRestore, what: "store"})
			m.arrives(20, "node-0", "hall-a", false)
		}, ""},
		{"node cut off from the store", func(m *made) {
			m.change(17, 20, change{trouble: storeCut, what: "node-0"})
			m.arrives(20, "node-0", "hall-a", false)
		}, ""},
		{"other node cut off from the store", func(m *made) {
			m.change(17, 20, change{trouble: storeCut, what: "node-1"})
			m.arrives(20, "node-0", "hall-a", false)
		}, "reached"},
		{"connections of the node to the store harmed", func(m *made) {
			m.change(17, 20, change{trouble: oneWayStore, what: "store", node: m.judge.run.nodes[0]})
			m.arrives(20, "node-0", "hall-a", false)
		}, ""},
		{"other node killed", func(m *made) {
			m.change(17, 20, change{trouble: killNode, node: m.judge.run.nodes[1]})
			m.arrives(20, "node-0", "hall-a", false)
		}, "reached"},
		{"fault after the request", func(m *made) {
			m.change(20.1, 21, change{trouble: killNode, node: m.judge.run.nodes[0]})
			m.arrives(20, "node-0", "hall-a", false)
		}, "reached"},
		{"connections to the worker slow", func(m *made) {
			m.change(19, 23, change{trouble: slowLink, what: "i-1"})
			m.arrives(20, "node-0", "hall-a", false)
		}, ""},
		{"connections to another worker slow", func(m *made) {
			m.change(19, 23, change{trouble: slowLink, what: "i-2"})
			m.arrives(20, "node-0", "hall-a", false)
		}, "reached"},
		{"connections to the worker reset", func(m *made) {
			m.change(19, 23, change{trouble: resetLink, what: "i-1"})
			m.arrives(20, "node-0", "hall-a", false)
		}, "reached"},
		{"a worker crashes", func(m *made) {
			m.change(19, 23, change{trouble: crashWorker, what: "i-1"})
			m.arrives(20, "node-0", "hall-a", false)
		}, "reached"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMade()
			m.evacuated(10, 30)
			c.play(m)
			m.judge.evacuations()
			expectViolation(t, m, c.want)
		})
	}
}

// Guards against a check that accepts a hall which stays unused after its readmission.
func TestJudgeFindsReadmittedHallWithoutRequests(t *testing.T) {
	const late, never = "got no requests for 5s after it was readmitted", "got no requests once all was calm"
	for _, c := range []struct {
		name string
		play func(m *made)
		want string
	}{
		{"soon and at the end", func(m *made) { m.arrives(34.9, "node-0", "hall-a", true); m.arrives(55, "node-0", "hall-a", false) }, ""},
		{"late", func(m *made) { m.arrives(35.1, "node-0", "hall-a", false); m.arrives(55, "node-0", "hall-a", false) }, late},
		{"not at the end", func(m *made) { m.arrives(31, "node-0", "hall-a", false) }, never},
		{"before and in the other hall only", func(m *made) {
			m.arrives(29.9, "node-0", "hall-a", false)
			m.arrives(31, "node-0", "hall-b", false)
			m.arrives(55, "node-0", "hall-a", false)
		}, late},
		{"evacuated again", func(m *made) {
			m.evacuated(33, 33.5)
			m.arrives(34, "node-0", "hall-a", false)
			m.arrives(55, "node-0", "hall-a", false)
		}, ""},
		{"late, no node in contact", func(m *made) {
			m.change(31, 32, change{trouble: storeOutage, what: "store"})
			m.arrives(55, "node-0", "hall-a", false)
		}, ""},
		{"late, one node in contact", func(m *made) {
			m.change(31, 32, change{trouble: killNode, node: m.judge.run.nodes[0]})
			m.arrives(55, "node-0", "hall-a", false)
		}, late},
		{"never, no node in contact", func(m *made) { m.change(31, 32, change{trouble: storeOutage, what: "store"}) }, never},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMade()
			m.evacuated(10, 30)
			c.play(m)
			m.judge.readmissions()
			expectViolation(t, m, c.want)
		})
	}
}

// Guards against a check that overlooks a cold worker which gets more than the bound in some second.
func TestJudgeFindsColdWorkerWithTooManyRequests(t *testing.T) {
	const most = 11 // coldPerSecond x coldExcess + coldSlack
	arrive := func(m *made, n int, from, gap float64, cold bool) {
		for i := range n {
			m.arrives(from+float64(i)*gap, []string{"node-0", "node-1"}[i%2], "hall-a", cold)
		}
	}
	for _, c := range []struct {
		name string
		play func(m *made)
		want string
	}{
		{"as many as allowed", func(m *made) { arrive(m, most, 10, 0.05, true) }, ""},
		{"one more, of all nodes", func(m *made) { arrive(m, most+1, 10, 0.05, true) }, "got 12 requests in a second, allowed 11"},
		{"across two whole seconds", func(m *made) { arrive(m, most+1, 10.5, 0.09, true) }, "got 12 requests"},
		{"in more than a second", func(m *made) { arrive(m, most+1, 10, 0.091, true) }, ""},
		{"for long, within the bound", func(m *made) { arrive(m, 100, 10, 0.092, true) }, ""},
		{"warm", func(m *made) { arrive(m, 100, 10, 0.01, false) }, ""},
		{"warm before", func(m *made) { arrive(m, 100, 9, 0.01, false); arrive(m, most, 10, 0.05, true) }, ""},
		{"one answered as misdirected", func(m *made) { arrive(m, most, 10, 0.05, true); m.rejected(m.arrives(10.6, "node-0", "hall-a", true)) }, ""},
		{"recorded in another order", func(m *made) { arrive(m, 6, 10.05, 0.1, true); arrive(m, 6, 10, 0.1, true) }, "got 12 requests"},
		{"all nodes disturbed", func(m *made) {
			m.change(9, 12, change{trouble: storeOutage, what: "store"})
			m.change(9, 12, change{trouble: killNode, node: m.judge.run.nodes[0]})
			arrive(m, most+1, 10, 0.05, true)
		}, "got 12 requests"},
		{"connections silent", func(m *made) {
			m.change(10.2, 14, change{trouble: silentLink, what: "i-1"})
			arrive(m, most+1, 10, 0.05, true)
		}, "got 12 requests"},
		{"connections cut one way", func(m *made) {
			m.change(10.2, 14, change{trouble: oneWayLink, what: "i-1"})
			arrive(m, most+1, 10, 0.05, true)
		}, ""},
		{"connections of another worker cut one way", func(m *made) {
			m.change(10.2, 14, change{trouble: oneWayLink, what: "i-2"})
			arrive(m, most+1, 10, 0.05, true)
		}, "got 12 requests"},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMade()
			c.play(m)
			m.judge.coldWorkers()
			expectViolation(t, m, c.want)
		})
	}
}

// expectViolation expects one kind of violation of a made-up run, or none.
func expectViolation(t *testing.T, m *made, want string) {
	g := NewWithT(t)
	if want == "" {
		g.Expect(m.judge.report.Violations).To(BeEmpty())
		return
	}
	g.Expect(m.judge.report.Violations).NotTo(BeEmpty())
	for _, v := range m.judge.report.Violations {
		g.Expect(v).To(ContainSubstring(want))
	}
}

// Guards against a draw that changes what earlier seeds play, and against runs without an evacuation past the bound.
func TestEvacuationsAreDrawnApartFromThePlan(t *testing.T) {
	g := NewWithT(t)
	build := Build{Eras: true, Halls: true}
	long := 0
	for seed := range uint64(200) {
		o := Options{From: build, To: build, Seed: seed, Soak: true}
		g.Expect(o.hasHalls()).To(Equal(seed%2 == 1))
		o.From.Halls = false
		g.Expect(o.hasHalls()).To(BeFalse(), "a build that reads no evacuations is not judged by them")
		list := newEvacuations(seed)
		g.Expect(list).To(Equal(newEvacuations(seed)))
		end := time.Duration(0)
		for _, e := range list {
			g.Expect(e.at).To(BeNumerically(">=", end), "one hall at a time")
			end = e.at + e.last
			if e.last > evacuateBound {
				long++
			}
		}
	}
	g.Expect(long).To(BeNumerically(">", 200))
}

// Guards against a soak that passes since no node ever had to enforce an evacuation.
func TestJudgeTellsHowLongNodesHadToEnforceEvacuations(t *testing.T) {
	g := NewWithT(t)
	m := newMade()
	m.evacuated(10, 20)
	m.change(11, 12, change{trouble: killNode, node: m.judge.run.nodes[0]})
	m.evacuated(30, 34)
	m.judge.evacuations()
	g.Expect(m.judge.report.Evacuations).To(Equal(2))
	g.Expect(m.judge.report.Watched).To(BeNumerically("~", 5*time.Second, 200*time.Millisecond), "node-1 from 15 s on; node-0 is in contact again at 15 s, and has to enforce it 5 s later")
}
