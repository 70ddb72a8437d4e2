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
		g.Expect(newPlan(seed, Forward, 4, true)).To(Equal(newPlan(seed, Forward, 4, true)))
		for _, p := range newPlan(seed, Forward, 4, false).troubles {
			g.Expect(p.what).NotTo(Equal(storeRestore))
		}
	}
}
