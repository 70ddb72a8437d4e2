package upgrade

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// root is the project's folder.
const root = "../.."

// The nodes of the version in production are replaced by those of this one, one at a time, and
// go back, beside crashes, an outage of the store, killed and frozen nodes, limits and rests.
func TestNodesOfTheVersionInProductionAreReplacedOneAtATime(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	commit, err := Production(root)
	g.Expect(err).NotTo(HaveOccurred())
	dir := t.TempDir()
	from, err := NewBuild(ctx, root, dir, commit)
	g.Expect(err).NotTo(HaveOccurred())
	to, err := NewBuild(ctx, root, dir, WorkTree)
	g.Expect(err).NotTo(HaveOccurred())
	report, err := Play(ctx, Options{From: from, To: to, Seed: 1, Mode: ThereAndBack, Nodes: 4, Dir: dir})
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%+v", report)
	g.Expect(report.Violations).To(BeEmpty())
	g.Expect(report.Calls).To(BeNumerically(">", 500), "callers were held up")
}

// Nodes of this build are restarted one at a time while connections to workers and to the store are
// reset, slow, silent for good or cut one way, beside all other troubles.
func TestPromisesHoldWhileConnectionsAreHarmed(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	dir := t.TempDir()
	build, err := NewBuild(ctx, root, dir, WorkTree)
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct {
		seed uint64
		mode Mode
	}{
		{2, ThereAndBack},
		// Loads that another leader had superseded were counted on: no group of one model for 20 s.
		{120, Forward},
		// A hall is readmitted while the other one is evacuated, so that cold groups are asked for more than they may get.
		{5703, Forward},
	} {
		report, err := Play(ctx, Options{From: build, To: build, Seed: c.seed, Mode: c.mode, Nodes: 4, Dir: dir, Soak: true})
		g.Expect(err).NotTo(HaveOccurred())
		t.Logf("%+v", report)
		g.Expect(report.Violations).To(BeEmpty(), "seed %d", c.seed)
		g.Expect(report.Calls).To(BeNumerically(">", 500), "callers were held up")
		if c.seed%2 == 1 {
			g.Expect(report.Watched).To(BeNumerically(">", time.Second), "no node had to enforce an evacuation")
			g.Expect(report.Cold).To(BeNumerically(">", 0), "no cold worker was asked")
		}
	}
}

// Guards against a planned stop that cuts off streams whose workers pause: requests at many groups ended as closed connections
// around the stops of nodes, while other nodes took the silence for the end of a worker.
func TestPlannedStopsBesidePausesCutNothingOff(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	dir := t.TempDir()
	build, err := NewBuild(ctx, root, dir, WorkTree)
	g.Expect(err).NotTo(HaveOccurred())
	report, err := Play(ctx, Options{From: build, To: build, Seed: 1, Mode: Forward, Nodes: 4, Dir: dir, Calm: true, Pauses: true})
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%+v", report)
	g.Expect(report.Violations).To(BeEmpty())
	g.Expect(report.Calls).To(BeNumerically(">", 500), "callers were held up")
}

// Guards against a second run: callers repeat at another node what a frozen node has not read.
func TestAbandonedRequestsRunOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	t.Cleanup(cancel)
	build, err := NewBuild(ctx, root, t.TempDir(), WorkTree)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct {
		name     string
		memoryMB int
	}{
		{"plain connections", 0},
		{"buffered connections", soakMemoryMB},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			report, err := Play(ctx, Options{From: build, To: build, Seed: 1, Mode: Forward, Nodes: 4, Dir: t.TempDir(), Calm: true, Abandons: true, MemoryMB: c.memoryMB})
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%+v", report)
			g.Expect(report.Violations).To(BeEmpty())
			g.Expect(report.Abandoned).To(BeNumerically(">", 50), "hardly any request was abandoned")
		})
	}
}

// Guards against a second run: the late copy of a refusal was taken for the answer to the next send of the request.
func TestRequestsRunOnceWhileWorkersRestartBesideSurplusAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	t.Cleanup(cancel)
	build, err := NewBuild(ctx, root, t.TempDir(), WorkTree)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct {
		name     string
		seed     uint64
		memoryMB int
	}{
		{"plain connections", 1, 0},
		{"buffered connections", 3, soakMemoryMB},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			report, err := Play(ctx, Options{From: build, To: build, Seed: c.seed, Mode: Forward, Nodes: 4, Dir: t.TempDir(), Calm: true, Restarts: true, MemoryMB: c.memoryMB})
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%+v", report)
			g.Expect(report.Violations).To(BeEmpty())
			g.Expect(report.Resent).To(BeNumerically(">", 0), "no request went to the worker that had turned it away")
		})
	}
}

// Guards against a change of the models that ends the processes of all nodes in turn, or that leaves a new model without groups:
// beside restarts of nodes, a model is replaced again and again, also twice in a moment.
func TestReplacedModelsAreServedAndEndNoNode(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	dir := t.TempDir()
	build, err := NewBuild(ctx, root, dir, WorkTree)
	g.Expect(err).NotTo(HaveOccurred())
	report, err := Play(ctx, Options{From: build, To: build, Seed: 1, Mode: Forward, Nodes: 4, Dir: dir, Calm: true, Models: true})
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("%+v", report)
	g.Expect(report.Violations).To(BeEmpty())
	g.Expect(report.Calls).To(BeNumerically(">", 500), "callers were held up")
	g.Expect(report.Replaced).To(BeNumerically(">=", 2))
}

func TestACommitThatCannotBeBuiltIsOneClearError(t *testing.T) {
	for _, c := range []struct {
		name, commit, want string
	}{
		{"unknown", "0123456789abcdef", "is no commit of this history"},
		{"no commit at all", "no such name", "is no commit of this history"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := NewBuild(context.Background(), root, t.TempDir(), c.commit)
			g.Expect(err).To(MatchError(ErrBuild))
			g.Expect(err.Error()).To(ContainSubstring(c.want))
		})
	}
}

func TestAPlanIsTheSameForASeed(t *testing.T) {
	g := NewWithT(t)
	for range 20 {
		seed := rand.Uint64()
		all := Options{From: Build{Eras: true}, To: Build{Eras: true}, Soak: true}
		g.Expect(newPlan(seed, Forward, 4, all.kinds())).To(Equal(newPlan(seed, Forward, 4, all.kinds())))
		all.From.Eras = false
		for _, p := range newPlan(seed, Forward, 4, all.kinds()).troubles {
			g.Expect(p.what).NotTo(Equal(storeRestore))
		}
	}
}
