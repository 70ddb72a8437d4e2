package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
)

// A sound popular part and a deadly one, whose responses all end with their connections: only whether the instance
// responds afterwards tells a complete one from one that was cut off.
func TestResponsesThatEndWithTheirConnectionAreConfirmedByTheInstance(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	sound := instance("sound")
	for i := range 6 {
		at := start.Add(time.Duration(i+1) * time.Second)
		deadly := instance(fmt.Sprint("i", i))
		l.RecordUnconfirmed(requestWith(fmt.Sprint("deadly ", i), "popular", "deadly"), deadly, at.Add(-runTime), at)
		g.Expect(l.BeginInvestigation(deadly, at.Add(100*time.Millisecond))).To(BeTrue(), "it refused a connection")
		l.RecordEnding(deadly, at.Add(200*time.Millisecond))
		l.RecordUnconfirmed(requestWith(fmt.Sprint("sound ", i), "popular"), sound, at, at.Add(300*time.Millisecond))
		l.RecordAlive(sound, at.Add(400*time.Millisecond))
	}
	g.Expect(holds(l, 8*time.Second, "popular", "deadly")).To(BeTrue())
	g.Expect(holds(l, 8*time.Second, "popular")).To(BeFalse())
}

func TestUnconfirmedResponseClearsNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		aliveAt time.Duration
		want    bool
	}{
		{"the instance responds to what was sent before the response ended", 4900 * time.Millisecond, true},
		{"the instance responds to what was sent afterwards", 5100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := quarantine.NewLedger(quarantine.DefaultPolicy())
			for i := range 4 {
				endUnderParts(l, fmt.Sprint("i", i), fmt.Sprint("body ", i), time.Duration(i+1)*time.Second, "a")
			}
			in := instance("other")
			l.RecordUnconfirmed(requestWith("r", "a"), in, start.Add(4500*time.Millisecond), start.Add(5*time.Second))
			l.RecordAlive(in, start.Add(c.aliveAt))
			g.Expect(holds(l, 6*time.Second, "a")).To(Equal(c.want))
		})
	}
}

// An instance that ends long after its last responses has not cut them off.
func TestOldUnconfirmedResponseIsNoInterruption(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 6 {
		at := start.Add(time.Duration(i+1) * time.Second)
		in := instance(fmt.Sprint("i", i))
		l.RecordUnconfirmed(requestWith(fmt.Sprint("sound ", i), "a"), in, at.Add(-runTime), at)
		l.BeginInvestigation(in, at.Add(3*time.Second))
		l.RecordEnding(in, at.Add(3*time.Second))
	}
	g.Expect(holds(l, 12*time.Second, "a")).To(BeFalse())
}
