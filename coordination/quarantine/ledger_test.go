package quarantine_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// runTime is how long a request has been in progress when its instance ends.
const runTime = 500 * time.Millisecond

// request returns the fingerprint of a request with the given body.
func request(body string) quarantine.Fingerprint {
	return quarantine.NewFingerprint(quarantine.Content{Method: "POST", Host: "h", Target: "/x", Caller: "team", Body: []byte(body)})
}

// instance returns an incarnation of an instance that does not report its incarnation.
func instance(id string) fleet.Incarnation {
	return fleet.Incarnation{ID: state.InstanceID(id)}
}

// endInstance ends an instance during the given requests, at a time after the start.
func endInstance(l *quarantine.Ledger, id string, after time.Duration, requests ...string) {
	at := start.Add(after)
	for _, r := range requests {
		l.RecordInterruption(quarantine.Request{Fingerprint: request(r)}, []fleet.Incarnation{instance(id)}, at.Add(-runTime), at)
	}
	l.RecordEnding(instance(id), at.Add(10*time.Millisecond))
}

// isQuarantined reports whether a request is quarantined at a time after the start.
func isQuarantined(l *quarantine.Ledger, r string, after time.Duration) bool {
	now := start.Add(after)
	return l.Verdict(request(r), now).Quarantined(now)
}

func TestFingerprintIdentifiesContent(t *testing.T) {
	g := NewWithT(t)
	base := quarantine.Content{Method: "POST", Host: "h", Target: "/x?q=1", Caller: "team", Body: []byte("body")}
	g.Expect(quarantine.NewFingerprint(base)).To(Equal(quarantine.NewFingerprint(base)))
	seen := map[quarantine.Fingerprint]string{quarantine.NewFingerprint(base): "base"}
	for _, c := range []struct {
		name   string
		change func(*quarantine.Content)
	}{
		{"method", func(c *quarantine.Content) { c.Method = "PUT" }},
		{"host", func(c *quarantine.Content) { c.Host = "g" }},
		{"query", func(c *quarantine.Content) { c.Target = "/x?q=2" }},
		{"caller", func(c *quarantine.Content) { c.Caller = "other" }},
		{"body", func(c *quarantine.Content) { c.Body = nil }},
		{"bytes moved to the next field", func(c *quarantine.Content) { c.Caller, c.Body = "teambo", []byte("dy") }},
	} {
		content := base
		c.change(&content)
		f := quarantine.NewFingerprint(content)
		g.Expect(seen).NotTo(HaveKey(f), c.name)
		seen[f] = c.name
	}
}

func TestFingerprintTextRoundTrip(t *testing.T) {
	g := NewWithT(t)
	f := request("a")
	var back quarantine.Fingerprint
	g.Expect(back.UnmarshalText([]byte(f.String()))).To(Succeed())
	g.Expect(back).To(Equal(f))
	for _, bad := range []string{"", "xy", f.String() + "00"} {
		g.Expect(back.UnmarshalText([]byte(bad))).To(MatchError(quarantine.ErrBadFingerprint), bad)
	}
}

// Only the request that was in progress at three endings is quarantined, not the requests beside
// it.
func TestRequestCommonToAllEndingsIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	endInstance(l, "a", time.Second, "deadly", "s1", "s2", "s3")
	endInstance(l, "b", 2*time.Second, "deadly", "s1", "s2", "s4")
	g.Expect(isQuarantined(l, "deadly", 2500*time.Millisecond)).To(BeFalse())
	endInstance(l, "c", 3*time.Second, "deadly", "s5")
	endInstance(l, "d", 4*time.Second, "s3", "s4")
	g.Expect(isQuarantined(l, "deadly", 5*time.Second)).To(BeTrue())
	for _, s := range []string{"s1", "s2", "s3", "s4", "s5", "never seen"} {
		g.Expect(isQuarantined(l, s, 5*time.Second)).To(BeFalse(), s)
	}
	g.Expect(l.Verdict(request("deadly"), start.Add(5*time.Second)).Instances()).To(ConsistOf(state.InstanceID("a"), state.InstanceID("b"), state.InstanceID("c")))
}

// A request that was in progress beside the deadly one at three endings is released once a fourth
// ending distinguishes the two.
func TestEndingOfAnotherRequestDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i, id := range []string{"a", "b", "c"} {
		endInstance(l, id, time.Duration(i+1)*time.Second, "deadly", "beside")
	}
	endInstance(l, "d", 4*time.Second, "deadly")
	g.Expect(isQuarantined(l, "deadly", 5*time.Second)).To(BeTrue())
	g.Expect(isQuarantined(l, "beside", 5*time.Second)).To(BeFalse())
}

// An instance that was cut off, and ended later during the deadly request, has ended once. One that
// does not report its incarnation has ended twice.
func TestInstanceMayEndAgain(t *testing.T) {
	for _, c := range []struct {
		name, life string
		// countsEarlier is set if the endings before the instances answered again count.
		countsEarlier bool
	}{
		{"it reports its incarnation", "1", false},
		{"it does not report its incarnation", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l, other := quarantine.NewLedger(quarantine.DefaultPolicy()), quarantine.NewLedger(quarantine.DefaultPolicy())
			endAll := func(instances int, from time.Duration) {
				for i := range instances {
					in, at := fleet.Incarnation{ID: state.InstanceID(fmt.Sprint(i)), Life: c.life}, start.Add(from+time.Duration(i)*time.Second)
					l.RecordInterruption(quarantine.Request{Fingerprint: request("deadly")}, []fleet.Incarnation{in}, at.Add(-runTime), at)
					l.RecordEnding(in, at)
					l.RecordProbeResponse(in, at.Add(500*time.Millisecond))
				}
				d, _ := l.ChangesSince(0, 0)
				other.Merge(d, 7)
				d, _ = other.ChangesSince(0, 0)
				l.Merge(d, 8)
			}
			endAll(2, 0)
			g.Expect(isQuarantined(l, "deadly", 4*time.Second)).To(BeFalse())
			endAll(1, 10*time.Second)
			for _, node := range []*quarantine.Ledger{l, other} {
				g.Expect(isQuarantined(node, "deadly", 14*time.Second)).To(Equal(c.countsEarlier))
			}
		})
	}
}

// A request that is retried on a second instance, which ends too, counts two endings, however soon
// the second one follows.
func TestEndingsAfterRetryCountSeparately(t *testing.T) {
	for _, c := range []struct {
		name string
		// began is when the request is sent to each instance, relative to the previous ending.
		began       time.Duration
		quarantined bool
	}{
		{"sent after the previous ending", time.Millisecond, true},
		{"sent before the previous ending", -runTime, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLedger(quarantine.DefaultPolicy())
			ended := start
			for i := range 3 {
				in, began := instance(fmt.Sprint(i)), ended.Add(c.began)
				ended = ended.Add(10 * time.Millisecond)
				l.RecordInterruption(quarantine.Request{Fingerprint: request("deadly")}, []fleet.Incarnation{in}, began, ended)
				l.RecordEnding(in, ended.Add(5*time.Millisecond))
			}
			NewWithT(t).Expect(isQuarantined(l, "deadly", time.Second)).To(Equal(c.quarantined))
		})
	}
}

// Instances that end within milliseconds during the attempts of one request must count alike on all
// nodes. Nodes exchange ages, and each message has its own delay, so that close endings arrive in
// another order. The first ending, which follows no retry, must not be mistaken for one that
// coincides with the second: a node that counts fewer endings sends the request on.
func TestReportOrderOfCloseEndingsDoesNotMatter(t *testing.T) {
	const pause, delay = 3 * time.Millisecond, 8 * time.Millisecond
	for _, c := range []struct {
		name   string
		delays []time.Duration
	}{
		{"in order", []time.Duration{0, 0, 0}},
		{"the first one is late", []time.Duration{delay, 0, 0}},
		{"the second one is late", []time.Duration{0, delay, 0}},
		{"the first two are late", []time.Duration{delay, delay, 0}},
		{"in reverse", []time.Duration{2 * delay, delay, 0}},
		{"rounded to the same time", []time.Duration{2 * pause, pause, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sender, other := quarantine.NewLedger(quarantine.DefaultPolicy()), quarantine.NewLedger(quarantine.DefaultPolicy())
			for i, id := range []string{"a", "b", "c"} {
				at := start.Add(time.Duration(i) * pause)
				sender.RecordInterruption(quarantine.Request{Fingerprint: request("deadly")}, []fleet.Incarnation{instance(id)}, at.Add(-time.Millisecond), at)
				sender.RecordEnding(instance(id), at)
			}
			d, _ := sender.ChangesSince(0, 0)
			slices.SortFunc(d.Endings, func(a, b quarantine.Ending) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
			for i := range d.Endings {
				d.Endings[i].At = d.Endings[i].At.Add(c.delays[i])
			}
			other.Merge(d, 7)
			g.Expect(isQuarantined(sender, "deadly", time.Second)).To(BeTrue())
			g.Expect(isQuarantined(other, "deadly", time.Second)).To(BeTrue())
		})
	}
}

// A popular sound request, or one that a client repeats, is in progress on every instance, so that
// more endings count against it than against the deadly one. It must not account for the endings of
// the deadly one: it would be quarantined, and so never cleared, while the deadly one is sent on.
func TestPopularRequestDoesNotShieldDeadlyOne(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	l.RecordComplete(quarantine.Request{Fingerprint: request("popular")}, start)
	endInstance(l, "chance", time.Second, "popular")
	for i := range 3 {
		endInstance(l, fmt.Sprint(i), time.Duration(2+i)*time.Second, "popular", "deadly", fmt.Sprint("beside ", i))
	}
	g.Expect(isQuarantined(l, "deadly", 6*time.Second)).To(BeTrue())
	g.Expect(isQuarantined(l, "popular", 6*time.Second)).To(BeFalse())
}

func TestConcurrentDeadlyRequestsAreAllQuarantined(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 12 {
		for _, r := range []string{"one", "two", "three"} {
			endInstance(l, fmt.Sprint(r, i), time.Second+time.Duration(i)*60*time.Millisecond, "deadly "+r, fmt.Sprint("beside ", r, i))
		}
	}
	for _, r := range []string{"one", "two", "three"} {
		g.Expect(isQuarantined(l, "deadly "+r, 3*time.Second)).To(BeTrue(), r)
	}
}

func TestTwoDeadlyRequestsAreBothQuarantined(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	for i := range 4 {
		endInstance(l, fmt.Sprintf("a%d", i), time.Duration(2*i+1)*time.Second, "deadly one", fmt.Sprintf("s%d", i))
	}
	for i := range 3 {
		endInstance(l, fmt.Sprintf("b%d", i), time.Duration(2*i+2)*time.Second, "deadly two", fmt.Sprintf("t%d", i))
	}
	g.Expect(isQuarantined(l, "deadly one", 9*time.Second)).To(BeTrue())
	g.Expect(isQuarantined(l, "deadly two", 9*time.Second)).To(BeTrue())
}

func TestInsufficientEvidenceQuarantinesNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(l *quarantine.Ledger)
	}{
		{"two endings", func(l *quarantine.Ledger) {
			endInstance(l, "a", time.Second, "popular")
			endInstance(l, "b", 2*time.Second, "popular")
		}},
		{"many instances end together, as with a rack", func(l *quarantine.Ledger) {
			for i := range 9 {
				endInstance(l, fmt.Sprintf("i%d", i), time.Second+time.Duration(i)*10*time.Millisecond, "popular")
			}
		}},
		{"a hall is cut off, and each attempt is retried on the next instance that is cut off", func(l *quarantine.Ledger) {
			for i := range 20 {
				in, at := instance(fmt.Sprintf("i%d", i)), start.Add(time.Second+time.Duration(i)*5*time.Millisecond)
				l.RecordInterruption(quarantine.Request{Fingerprint: request(fmt.Sprint("beside ", i))}, []fleet.Incarnation{in}, start, at)
				if i < 4 {
					l.RecordInterruption(quarantine.Request{Fingerprint: request("popular")}, []fleet.Incarnation{in}, at.Add(-5*time.Millisecond), at)
				}
				l.RecordEnding(in, at.Add(time.Millisecond))
			}
		}},
		{"its instances answer again after the partition", func(l *quarantine.Ledger) {
			for i := range 4 {
				in, at := fleet.Incarnation{ID: "i", Life: fmt.Sprint(i)}, start.Add(time.Duration(i)*time.Second)
				l.RecordInterruption(quarantine.Request{Fingerprint: request("popular")}, []fleet.Incarnation{in}, at.Add(-runTime), at)
				l.RecordEnding(in, at)
				l.RecordProbeResponse(in, start.Add(4*time.Second))
			}
		}},
		{"a complete response in between", func(l *quarantine.Ledger) {
			endInstance(l, "a", time.Second, "popular")
			endInstance(l, "b", 2*time.Second, "popular")
			l.RecordComplete(quarantine.Request{Fingerprint: request("popular")}, start.Add(2500*time.Millisecond))
			endInstance(l, "c", 3*time.Second, "popular")
			endInstance(l, "d", 4*time.Second, "popular")
		}},
		{"it was interrupted on instances that are alive", func(l *quarantine.Ledger) {
			for i := range 9 {
				in := instance(fmt.Sprintf("i%d", i))
				at := start.Add(time.Duration(i) * time.Second / 2)
				l.RecordInterruption(quarantine.Request{Fingerprint: request("popular")}, []fleet.Incarnation{in}, at.Add(-runTime), at)
				l.RecordProbeResponse(in, at.Add(time.Millisecond))
				l.RecordEnding(in, at.Add(10*time.Millisecond))
			}
		}},
		{"its instances ended long after it was interrupted", func(l *quarantine.Ledger) {
			for i := range 9 {
				in := instance(fmt.Sprintf("i%d", i))
				l.RecordInterruption(quarantine.Request{Fingerprint: request("popular")}, []fleet.Incarnation{in}, start.Add(-2*time.Minute), start.Add(-time.Minute+time.Duration(i)*time.Second))
				l.RecordEnding(in, start.Add(time.Duration(i)*time.Second/2))
			}
		}},
		{"an operator cleared it", func(l *quarantine.Ledger) {
			for i := range 3 {
				endInstance(l, fmt.Sprintf("i%d", i), time.Duration(i)*time.Second, "popular")
			}
			l.Clear(request("popular"), start.Add(4*time.Second))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLedger(quarantine.DefaultPolicy())
			c.play(l)
			NewWithT(t).Expect(isQuarantined(l, "popular", 5*time.Second)).To(BeFalse())
		})
	}
}

// A deadly request must not be released when a hall is cut off during its first endings. Once the
// instances of that hall refuse connections, their false endings must not account for the real ones
// in the other halls.
func TestPartitionDuringEndingsReleasesNoRequest(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	moments := []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second}
	for i, at := range moments {
		endInstance(l, fmt.Sprint("other hall ", i), at, "deadly")
	}
	g.Expect(isQuarantined(l, "deadly", 3*time.Second)).To(BeTrue())
	for i, at := range moments {
		for n := range 5 {
			in := instance(fmt.Sprint("cut off ", i, n))
			l.Merge(quarantine.Delta{Endings: []quarantine.Ending{{Instance: in, At: start.Add(at), Requests: []quarantine.Fingerprint{request(fmt.Sprint("beside ", i, n))}}}}, 7)
		}
	}
	g.Expect(isQuarantined(l, "deadly", 4*time.Second)).To(BeTrue())
}

// A deadly request must not be released when a hall is connected again. When the partition began,
// the instances of the other halls refused connections from its nodes; some of them ended during
// the request a little later. If a false ending is merged with the real one after it, at the time
// of the false one, endings that are two seconds apart count as one.
func TestFalseEndingBeforeRealOneReleasesNoRequest(t *testing.T) {
	const partitionAt = 900 * time.Millisecond
	observePartition := func(l *quarantine.Ledger) {
		for i := range 3 {
			endInstance(l, fmt.Sprint(i), partitionAt, fmt.Sprint("beside ", i))
		}
	}
	observeEndings := func(l *quarantine.Ledger) {
		for i := range 3 {
			endInstance(l, fmt.Sprint(i), time.Second+time.Duration(i)*700*time.Millisecond, "deadly")
		}
	}
	for _, c := range []struct {
		name string
		// falseEndingsFirst is set if the false endings are sent before the other node observes
		// anything.
		falseEndingsFirst bool
	}{
		{"both are sent afterwards", false},
		{"the false endings are sent first", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cutOff, other := quarantine.NewLedger(quarantine.DefaultPolicy()), quarantine.NewLedger(quarantine.DefaultPolicy())
			send := func(from, to *quarantine.Ledger, source quarantine.Source) {
				d, _ := from.ChangesSince(0, 0)
				to.Merge(d, source)
			}
			observePartition(cutOff)
			if c.falseEndingsFirst {
				send(cutOff, other, 7)
			}
			observeEndings(other)
			g.Expect(isQuarantined(other, "deadly", 3*time.Second)).To(BeTrue())
			send(cutOff, other, 7)
			send(other, cutOff, 8)
			g.Expect(isQuarantined(other, "deadly", 4*time.Second)).To(BeTrue())
			g.Expect(isQuarantined(cutOff, "deadly", 4*time.Second)).To(BeTrue())
		})
	}
}

// A build that merges the observations of all nodes sends them back as one ending, at the earliest
// of their times and without the nodes.
func TestMergedObservationsReleaseNoRequest(t *testing.T) {
	g := NewWithT(t)
	l := quarantine.NewLedger(quarantine.DefaultPolicy())
	var merged []quarantine.Ending
	for i := range 3 {
		endInstance(l, fmt.Sprint(i), time.Second+time.Duration(i)*700*time.Millisecond, "deadly")
		merged = append(merged, quarantine.Ending{
			Instance: instance(fmt.Sprint(i)), At: start.Add(900 * time.Millisecond),
			Requests: []quarantine.Fingerprint{request("deadly"), request(fmt.Sprint("beside ", i))},
		})
	}
	l.Merge(quarantine.Delta{Endings: merged}, 7)
	g.Expect(isQuarantined(l, "deadly", 4*time.Second)).To(BeTrue())
	g.Expect(l.Verdict(request("deadly"), start.Add(4*time.Second)).IndependentEndings).To(Equal(3))
}

func TestQuarantineDoublesWithEachEnding(t *testing.T) {
	g := NewWithT(t)
	p := quarantine.DefaultPolicy()
	l := quarantine.NewLedger(p)
	for i := range 3 {
		endInstance(l, fmt.Sprintf("i%d", i), time.Duration(i)*time.Second, "deadly")
	}
	quarantineEnd := 2*time.Second + p.Hold
	g.Expect(isQuarantined(l, "deadly", quarantineEnd-time.Second)).To(BeTrue())
	g.Expect(isQuarantined(l, "deadly", quarantineEnd+time.Second)).To(BeFalse())
	again := quarantineEnd + 2*time.Second
	endInstance(l, "again", again, "deadly")
	g.Expect(isQuarantined(l, "deadly", again+p.Hold+time.Second)).To(BeTrue())
	g.Expect(isQuarantined(l, "deadly", again+2*p.Hold+time.Second)).To(BeFalse())
	g.Expect(isQuarantined(l, "deadly", again+2*p.Retention)).To(BeFalse())
}

// An attempt whose interruption is noticed late counts against an ending that is already known,
// whichever node reported it.
func TestLateInterruptionCounts(t *testing.T) {
	for _, c := range []struct {
		name             string
		report           func(l *quarantine.Ledger, in fleet.Incarnation, at time.Time)
		interruptedFirst bool
	}{
		{"after the ending is known", func(l *quarantine.Ledger, in fleet.Incarnation, at time.Time) {
			l.Merge(quarantine.Delta{Endings: []quarantine.Ending{{Instance: in, At: at, Requests: []quarantine.Fingerprint{request("other")}}}}, 7)
		}, false},
		{"before another node reports it", func(l *quarantine.Ledger, in fleet.Incarnation, at time.Time) {
			l.Merge(quarantine.Delta{Endings: []quarantine.Ending{{Instance: in, At: at, Requests: []quarantine.Fingerprint{request("other")}}}}, 7)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := quarantine.NewLedger(quarantine.DefaultPolicy())
			for i := range 3 {
				in, at := instance(fmt.Sprintf("i%d", i)), start.Add(time.Duration(i)*time.Second)
				if c.interruptedFirst {
					l.RecordInterruption(quarantine.Request{Fingerprint: request("deadly")}, []fleet.Incarnation{in}, at.Add(-runTime), at)
				}
				c.report(l, in, at)
				if !c.interruptedFirst {
					l.RecordInterruption(quarantine.Request{Fingerprint: request("deadly")}, []fleet.Incarnation{in}, at.Add(-runTime), at.Add(time.Second))
				}
			}
			NewWithT(t).Expect(isQuarantined(l, "deadly", 5*time.Second)).To(BeTrue())
		})
	}
}

func TestRetainedEndingsAreBounded(t *testing.T) {
	g := NewWithT(t)
	p := quarantine.DefaultPolicy()
	l := quarantine.NewLedger(p)
	for i := range 4 * p.MaxEndings {
		for r := range 2 * p.MaxRequests {
			l.RecordInterruption(quarantine.Request{Fingerprint: request(fmt.Sprint(r))}, []fleet.Incarnation{instance(fmt.Sprint(i))}, start, start.Add(time.Duration(i)*time.Millisecond))
		}
		l.RecordEnding(instance(fmt.Sprint(i)), start.Add(time.Duration(i)*time.Millisecond))
	}
	d, _ := l.ChangesSince(0, 0)
	g.Expect(d.Endings).To(HaveLen(p.MaxEndings))
	for _, e := range d.Endings {
		g.Expect(len(e.Requests)).To(BeNumerically("<=", p.MaxRequests))
	}
}
