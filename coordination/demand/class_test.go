package demand_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/demand"
	"github.com/troutmast/troutmast/state"
)

// add counts a request for the model "long" at a time.
func add(m *demand.Meter, class demand.Class, at time.Time) {
	m.Add("lm", "long", 100, 10, at)
	m.AddClass("lm", "long", class, at)
}

// Guards against a peak that is over before admission sees it.
func TestClassRatesFollowPeakWithinSecond(t *testing.T) {
	g := NewWithT(t)
	m := demand.NewMeter(demand.DefaultPolicy())
	class := demand.Class{Priority: 2, Returning: true, Team: "a"}
	rate := func(at time.Time) float64 { return m.Flows(at)[0].Classes[0].Requests }
	for i := range 500 {
		add(m, class, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	g.Expect(rate(start.Add(5 * time.Second))).To(BeNumerically("~", 100, 5))
	for i := range 300 {
		add(m, class, start.Add(5*time.Second+time.Duration(i)*time.Second/300))
	}
	flows := m.Flows(start.Add(6 * time.Second))
	g.Expect(flows[0].Classes[0].Class).To(Equal(class))
	g.Expect(flows[0].Classes[0].Requests).To(BeNumerically(">", 250))
	flows = m.Flows(start.Add(12 * time.Second))
	g.Expect(flows[0].Classes).To(BeEmpty())
	g.Expect(flows[0].Requests).To(BeNumerically(">", 0.1), "the rate for placement falls more slowly")
}

func TestSumAddsUpClasses(t *testing.T) {
	named := func(priority int, team string, rate float64) demand.ClassFlow {
		return demand.ClassFlow{Class: demand.Class{Priority: priority, Team: state.TeamName(team)}, Requests: rate}
	}
	unnamed := func(rate float64, teams int) demand.ClassFlow {
		return demand.ClassFlow{Requests: rate, Teams: teams}
	}
	report := func(classes ...demand.ClassFlow) []demand.Flow {
		f := demand.Flow{Service: "lm", Model: "long", Classes: classes, Requests: 5}
		return []demand.Flow{f}
	}
	for _, c := range []struct {
		name    string
		reports [][]demand.Flow
		want    []demand.ClassFlow
	}{
		{"no classes", [][]demand.Flow{report(), report()}, nil},
		{"a team at two nodes", [][]demand.Flow{report(named(0, "a", 1)), report(named(0, "a", 2), named(1, "a", 4))}, []demand.ClassFlow{named(0, "a", 3), named(1, "a", 4)}},
		{"unnamed teams may be the same", [][]demand.Flow{report(unnamed(3, 4)), report(unnamed(5, 2))}, []demand.ClassFlow{unnamed(8, 4)}},
		{"an earlier build counts as the lowest priority present", [][]demand.Flow{report(), report(named(0, "a", 1), named(3, "b", 1))}, []demand.ClassFlow{named(0, "a", 1), named(3, "", 5), named(3, "b", 1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sum := demand.Sum(c.reports...)
			g.Expect(sum).To(HaveLen(1))
			g.Expect(sum[0].Classes).To(Equal(c.want))
		})
	}
}

// Guards against messages that grow with the number of teams: 570 nodes with requests of 1,000 teams for three models, of
// three priorities, a third of them returning.
func TestClassesAreBoundedInMessages(t *testing.T) {
	g := NewWithT(t)
	var reports [][]demand.Flow
	largest := 0
	for node := range 570 {
		m := demand.NewMeter(demand.DefaultPolicy())
		for i := range 200 {
			team := state.TeamName(fmt.Sprintf("customer-%d", (node*37+i*i*7)%1000))
			class := demand.Class{Priority: i % 3, Returning: i%5 < 2, Team: team}
			for _, model := range []string{"large", "small", ""} {
				m.Add("inference", model, 100, 10, start)
				m.AddClass("inference", model, class, start)
			}
		}
		flows := m.Flows(start)
		raw, err := json.Marshal(flows)
		g.Expect(err).NotTo(HaveOccurred())
		largest = max(largest, len(raw))
		reports = append(reports, flows)
	}
	total := demand.Sum(reports...)
	raw, err := json.Marshal(total)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("report %d bytes, totals %d bytes", largest, len(raw))
	g.Expect(largest).To(BeNumerically("<", 8<<10))
	g.Expect(len(raw)).To(BeNumerically("<", 32<<10))
	requests := 0.0
	for _, c := range total[0].Classes {
		requests += c.Requests
	}
	g.Expect(requests).To(BeNumerically("~", 570*200/demand.DefaultPolicy().ClassDecay.Seconds(), 50), "requests of unnamed teams are lost")
}

func TestWaitingCountsCallersUntilDue(t *testing.T) {
	g := NewWithT(t)
	m := demand.NewMeter(demand.DefaultPolicy())
	m.Add("lm", "long", 0, 0, start)
	waiting := func(after time.Duration) float64 { return m.Flows(start.Add(after))[0].Waiting }
	g.Expect(waiting(0)).To(BeZero())
	m.AddReturn("lm", "long", start, 300*time.Millisecond)
	m.AddReturn("lm", "long", start, time.Second)
	m.AddReturn("lm", "long", start, time.Hour)
	g.Expect(waiting(200 * time.Millisecond)).To(Equal(3.0))
	g.Expect(waiting(500 * time.Millisecond)).To(Equal(2.0))
	m.AddReturn("lm", "long", start.Add(500*time.Millisecond), time.Second)
	g.Expect(waiting(1200 * time.Millisecond)).To(Equal(2.0))
	m.Add("lm", "long", 0, 0, start.Add(30*time.Second))
	g.Expect(waiting(30 * time.Second)).To(BeZero())
}
