package statelog_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/statelog"
	_ "github.com/troutmast/troutmast/internal/seed"
	"github.com/troutmast/troutmast/state"
)

// smallConfig returns small limits, so that page boundaries, snapshots and trims are frequent.
func smallConfig() statelog.Config {
	return statelog.Config{PageSize: 3, RecentEntries: 4, SnapshotEvery: 5, RetryDelay: time.Second}
}

// teamRecord returns a record that creates a team.
func teamRecord(name string) *state.Record {
	r, err := state.NewRecord(state.KindCommand, "t")
	if err != nil {
		panic(err)
	}
	r.Ops = []state.Op{{CreateTeam: &state.CreateTeam{Name: state.TeamName(name), KeyHashes: []string{name}}}}
	return r
}

// digest returns the digest of a follower's state.
func digest(f *statelog.Follower) (d string) {
	f.Read(func(s *state.State) { d, _ = s.Digest() })
	return d
}

// TestFollowersConverge checks that followers reading at different speeds converge while appends
// are lost or duplicated, the log is trimmed behind snapshots, and the log is unavailable.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		clock := clockwork.NewFakeClock()
		l := newFakeLog(time.Now())
		source := statelog.NewFollower(smallConfig(), l, nil, clock)
		followers := []*statelog.Follower{source}
		for range 3 {
			followers = append(followers, statelog.NewFollower(smallConfig(), l, &fakePeers{source}, clock))
		}
		applied := make([]state.Offset, len(followers))
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "act") {
			case 0, 1:
				times := rapid.IntRange(0, 2).Draw(t, "times")
				l.appendFault = func() (int, error) { return times, errResponseLost }
				_ = source.Append(ctx, teamRecord(fmt.Sprint(step%7)))
				l.appendFault = func() (int, error) { return 1, nil }
			case 2:
				if source.SnapshotLag() > 0 && !l.down {
					_ = source.WriteSnapshot(ctx, "source")
					snapAt := source.AppliedOffset() / 5 * 5
					l.trim(snapAt + 1)
				}
			case 3:
				l.down = !l.down
			default:
				i := rapid.IntRange(0, len(followers)-1).Draw(t, "follower")
				_ = followers[i].Step(ctx)
				if now := followers[i].AppliedOffset(); now < applied[i] {
					t.Fatalf("follower %d: offset decreased from %d to %d", i, applied[i], now)
				}
				applied[i] = followers[i].AppliedOffset()
			}
		}
		l.down = false
		for i, f := range followers {
			for range 60 {
				_ = f.Step(ctx)
			}
			if err := f.Stopped(); err != nil {
				t.Fatalf("follower %d: %v", i, err)
			}
			if digest(f) != digest(source) {
				t.Fatalf("state of follower %d at offset %d differs from the source at offset %d", i, f.AppliedOffset(), source.AppliedOffset())
			}
		}
	})
}

// runSteps steps a follower until the test ends.
func runSteps(t *testing.T, f *statelog.Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			_ = f.Step(ctx)
			time.Sleep(time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

func TestDoReturnsOutcomeReadBack(t *testing.T) {
	cases := []struct {
		name     string
		times    int
		err      error
		accepted bool
		want     error
	}{
		{"acknowledged", 1, nil, true, nil},
		{"response lost", 1, errResponseLost, true, nil},
		{"response lost, appended twice", 2, errResponseLost, true, nil},
		{"response lost, never appended", 0, errResponseLost, false, statelog.ErrUnsettled},
		{"certainly not appended", 0, statelog.ErrNotAppended, false, statelog.ErrNotAppended},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newFakeLog(time.Now())
			f := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
			runSteps(t, f)
			l.mu.Lock()
			l.appendFault = func() (int, error) { return c.times, c.err }
			l.mu.Unlock()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			o, err := f.Do(ctx, teamRecord("a"))
			g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
			g.Expect(o.Accepted).To(Equal(c.accepted))
		})
	}
}

// TestVoidRefusesDelayedCommand checks that a delayed command is refused if its void was appended first.
func TestVoidRefusesDelayedCommand(t *testing.T) {
	g := NewWithT(t)
	l := newFakeLog(time.Now())
	f := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
	runSteps(t, f)
	delayed := teamRecord("a")
	void, err := state.NewRecord(state.KindVoid, "t")
	g.Expect(err).NotTo(HaveOccurred())
	void.Void = delayed.ID
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	o, err := f.Do(ctx, void)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Accepted).To(BeTrue())
	o, err = f.Do(ctx, delayed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Reason).To(Equal(state.ReasonVoided))
}

func TestUnknownRecordStopsReplay(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	l := newFakeLog(time.Now())
	f := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
	_, _ = l.Append(ctx, []byte(`{"v":1,"id":"x","kind":"of-a-later-version"}`))
	g.Expect(f.Append(ctx, teamRecord("a"))).To(Succeed())
	g.Expect(errors.Is(f.Step(ctx), statelog.ErrStopped)).To(BeTrue())
	g.Expect(f.AppliedOffset()).To(BeZero())
	g.Expect(errors.Is(f.Stopped(), state.ErrUnknownRecord)).To(BeTrue())
	_, err := f.Do(ctx, teamRecord("b"))
	g.Expect(errors.Is(err, statelog.ErrStopped)).To(BeTrue())
}

func TestTrimmedLogWithoutSnapshotReturnsErrNoState(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	l := newFakeLog(time.Now())
	source := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
	for i := range 9 {
		g.Expect(source.Append(ctx, teamRecord(fmt.Sprint(i)))).To(Succeed())
	}
	l.trim(4)
	f := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
	g.Expect(errors.Is(f.Step(ctx), statelog.ErrNoState)).To(BeTrue())
	g.Expect(f.AppliedOffset()).To(BeZero())
	_, read := f.HeadAge()
	g.Expect(read).To(BeFalse())
}

func TestOlderSnapshotIsRefused(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	l := newFakeLog(time.Now())
	f := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
	g.Expect(f.Append(ctx, teamRecord("a"))).To(Succeed())
	g.Expect(f.Step(ctx)).To(Succeed())
	var old *state.Snapshot
	f.Read(func(s *state.State) { old, _ = s.Snapshot() })
	g.Expect(f.Append(ctx, teamRecord("b"))).To(Succeed())
	g.Expect(f.Step(ctx)).To(Succeed())
	g.Expect(errors.Is(f.InstallSnapshot(old), state.ErrStaleSnapshot)).To(BeTrue())
	g.Expect(f.AppliedOffset()).To(Equal(state.Offset(2)))
}

func TestSnapshotDigestMismatchStopsReplay(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	l := newFakeLog(time.Now())
	f := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
	for i := range 5 {
		g.Expect(f.Append(ctx, teamRecord(fmt.Sprint(i)))).To(Succeed())
	}
	for range 2 {
		g.Expect(f.Step(ctx)).To(Succeed())
	}
	r, err := state.NewRecord(state.KindSnapshot, "other")
	g.Expect(err).NotTo(HaveOccurred())
	r.Snapshot = &state.Snapshot{At: 5, Digest: "different"}
	g.Expect(f.Append(ctx, r)).To(Succeed())
	g.Expect(errors.Is(f.Step(ctx), statelog.ErrStopped)).To(BeTrue())
}

// TestFollowerIsCaughtUpOnlyAtEndOfLog covers a node that is still catching up with the log or,
// while the log is unavailable, with a peer.
func TestFollowerIsCaughtUpOnlyAtEndOfLog(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	l := newFakeLog(time.Now())
	source := statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())
	for i := range 4 {
		g.Expect(source.Append(ctx, teamRecord(fmt.Sprint(i)))).To(Succeed())
	}
	g.Expect(source.Step(ctx)).To(Succeed())
	g.Expect(source.AppliedOffset()).To(Equal(state.Offset(3)))
	g.Expect(source.CaughtUp()).To(BeFalse())
	g.Expect(source.Step(ctx)).To(Succeed())
	g.Expect(source.CaughtUp()).To(BeTrue())

	l.down = true
	follower := statelog.NewFollower(smallConfig(), l, &fakePeers{source}, clockwork.NewRealClock())
	_ = follower.Step(ctx)
	g.Expect(follower.AppliedOffset()).To(Equal(state.Offset(3)))
	g.Expect(follower.CaughtUp()).To(BeFalse())
	_ = follower.Step(ctx)
	_ = follower.Step(ctx)
	g.Expect(follower.AppliedOffset()).To(Equal(state.Offset(4)))
	g.Expect(follower.CaughtUp()).To(BeTrue())

	empty := statelog.NewFollower(smallConfig(), l, &fakePeers{statelog.NewFollower(smallConfig(), l, nil, clockwork.NewRealClock())}, clockwork.NewRealClock())
	_ = empty.Step(ctx)
	g.Expect(empty.CaughtUp()).To(BeFalse())
}

// A log that was restored from a backup reuses offsets. A follower that reads on would wait for
// offsets beyond the new head, or read other records than those once written at these offsets.
func TestRestoredLogStopsReplay(t *testing.T) {
	for _, c := range []struct {
		name  string
		pages []statelog.Page
		stops bool
	}{
		{"unchanged head", []statelog.Page{{Head: 0}, {Head: 0}}, false},
		{"first era above zero", []statelog.Page{{Era: 3}, {Era: 3}}, false},
		{"era changes", []statelog.Page{{Era: 3}, {Era: 4}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := statelog.NewFollower(statelog.DefaultConfig(), &pagesLog{pages: c.pages}, nil, clockwork.NewFakeClock())
			var err error
			for range c.pages {
				err = f.Step(context.Background())
			}
			if !c.stops {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(statelog.ErrRestored))
			g.Expect(f.Step(context.Background())).To(MatchError(statelog.ErrRestored))
			g.Expect(f.Halted()).To(BeClosed())
			r, recordErr := state.NewRecord(state.KindVoid, "operator")
			g.Expect(recordErr).NotTo(HaveOccurred())
			_, err = f.Do(context.Background(), r)
			g.Expect(err).To(And(MatchError(statelog.ErrNotAppended), MatchError(statelog.ErrRestored)))
			g.Expect(f.Append(context.Background(), r)).To(MatchError(statelog.ErrNotAppended))
		})
	}
}

// pagesLog returns the given pages in order and repeats the last one.
type pagesLog struct {
	statelog.Log
	pages []statelog.Page
}

func (l *pagesLog) Read(context.Context, state.Offset, int, time.Duration) (statelog.Page, error) {
	page := l.pages[0]
	if len(l.pages) > 1 {
		l.pages = l.pages[1:]
	}
	return page, nil
}
