package paired_test

import (
	"context"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/paired"
)

func TestVariantsAreReadAndWrittenAlike(t *testing.T) {
	for _, c := range []struct {
		text     string
		commit   string
		settings []string
		fails    bool
	}{
		{text: "HEAD", commit: "HEAD"},
		{text: "work,a=1,b=2s", commit: "work", settings: []string{"a=1", "b=2s"}},
		{text: "", fails: true},
		{text: "HEAD,a", fails: true},
		{text: "HEAD,a=", fails: true},
		{text: "HEAD,=1", fails: true},
	} {
		t.Run(c.text, func(t *testing.T) {
			g := NewWithT(t)
			v, err := paired.ParseVariant(c.text)
			if c.fails {
				g.Expect(err).To(MatchError(paired.ErrVariant))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(v.Commit).To(Equal(c.commit))
			g.Expect(v.Settings).To(Equal(c.settings))
			g.Expect(v.String()).To(Equal(c.text))
		})
	}
}

// pairOf returns a pair with given worths.
func pairOf(a, b float64) paired.Pair {
	return paired.Pair{Day: "d", A: paired.Result{Worth: a, Served: a}, B: paired.Result{Worth: b, Served: b}}
}

func TestTheEffectIsTheMeanDifferenceWithItsStandardError(t *testing.T) {
	g := NewWithT(t)
	e := paired.EffectOf([]paired.Pair{pairOf(0.5, 0.6), pairOf(0.7, 0.6), pairOf(0.5, 0.8), pairOf(0.4, 0.4)})
	g.Expect(e.Pairs).To(Equal(4))
	g.Expect(e.Worth).To(BeNumerically("~", 0.075, 1e-9))
	// Differences 0.1, -0.1, 0.3 and 0: sample deviation 0.170783, over the root of 4.
	g.Expect(e.WorthError).To(BeNumerically("~", 0.0853913, 1e-6))
	g.Expect([]int{e.Better, e.Worse}).To(Equal([]int{2, 1}))
	g.Expect(paired.EffectOf([]paired.Pair{pairOf(0.5, 0.6)}).WorthError).To(Equal(math.Inf(1)))
	g.Expect(paired.EffectOf(nil).Pairs).To(Equal(0))
}

func TestNothingIsClaimedWithoutEnoughPairsOrBelowTwoErrors(t *testing.T) {
	many := func(n int, diffs ...float64) []paired.Pair {
		var pairs []paired.Pair
		for i := range n {
			pairs = append(pairs, pairOf(0.5, 0.5+diffs[i%len(diffs)]))
		}
		return pairs
	}
	for _, c := range []struct {
		name  string
		pairs []paired.Pair
		claim string
	}{
		{"few", many(7, 0.1, 0.11), "too few pairs"},
		{"scattered", many(8, 0.3, -0.28), "within noise"},
		{"up", many(8, 0.1, 0.12), "better"},
		{"down", many(8, -0.1, -0.12), "worse"},
	} {
		t.Run(c.name, func(t *testing.T) {
			NewWithT(t).Expect(paired.EffectOf(c.pairs).Claim()).To(Equal(c.claim))
		})
	}
}

// fakeBench stands in for the bench: worth is a tenth of the seed, and twice that
// with a setting in the deploy file; seed 3 breaks a rule, seed 4 is not played, nor is
// anything without processor time charged, since that hides what an overloaded node does.
const fakeBench = `#!/bin/sh
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2 ;;
    --report) report=$2 ;;
    --no-cpu) echo "processor time must be charged"; exit 1 ;;
  esac
  shift
done
[ "$seed" = 4 ] && { echo "out of time"; exit 1; }
worth=0.$seed
grep -q -- --gain=2 deploy/system.toml && worth=0.$((2 * seed))
breaks='{}'
[ "$seed" = 3 ] && breaks='{"TWICE": [1]}'
echo "{\"G\": $worth, \"served\": $worth, \"fault\": null, \"breaks\": $breaks}" > "$report"
echo '{}' > "journal/$(basename "$PWD")-$seed.json"
`

// project makes a git repository with a deploy file and a journal.
func project(t *testing.T) string {
	t.Helper()
	g := NewWithT(t)
	root := t.TempDir()
	g.Expect(os.MkdirAll(filepath.Join(root, "deploy"), 0o755)).To(Succeed())
	g.Expect(os.MkdirAll(filepath.Join(root, "journal"), 0o755)).To(Succeed())
	g.Expect(os.WriteFile(filepath.Join(root, "deploy/system.toml"), []byte("run = \"target/troutmastd\"\n"), 0o644)).To(Succeed())
	for _, args := range [][]string{
		{"init", "-q"}, {"add", "."}, {"-c", "user.name=t", "-c", "user.email=t@example.org", "commit", "-q", "-m", "x"},
	} {
		cmd := exec.Command("git", args...)
		cmd.Dir = root
		out, err := cmd.CombinedOutput()
		g.Expect(err).NotTo(HaveOccurred(), string(out))
	}
	return root
}

func TestAnExperimentPlaysBothVariantsOnEveryDayAndSeed(t *testing.T) {
	g := NewWithT(t)
	root := project(t)
	bench := filepath.Join(t.TempDir(), "bench")
	g.Expect(os.WriteFile(bench, []byte(fakeBench), 0o755)).To(Succeed())
	e := &paired.Experiment{
		Root: root, Site: "/sites/one.toml", Days: []string{"quiet", "busy"}, Seeds: []int64{1, 2, 3, 4}, Jobs: 3,
		A: paired.Variant{Commit: "HEAD"}, B: paired.Variant{Commit: paired.WorkTree, Settings: []string{"gain=2"}},
	}
	pairs, err := e.Run(context.Background(), &paired.Bench{Program: bench, Why: "a test"})
	g.Expect(err).To(MatchError(paired.ErrPlay), "seed 4 is not played")
	g.Expect(err.Error()).To(ContainSubstring("out of time"))
	g.Expect(pairs).To(HaveLen(6))
	for _, p := range pairs {
		g.Expect(p.Site).To(Equal("one"))
		g.Expect(p.A.Worth).To(BeNumerically("~", float64(p.Seed)/10, 1e-9))
		g.Expect(p.B.Worth).To(BeNumerically("~", float64(p.Seed)/5, 1e-9))
		g.Expect(p.A.Broken).To(HaveLen(map[bool]int{true: 1}[p.Seed == 3]))
	}
	entries, err := filepath.Glob(filepath.Join(root, "journal", "*.json"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(6), "the plays of both variants are kept")
}

func TestAVariantWithSettingsNeedsADaemonInTheDeployFile(t *testing.T) {
	g := NewWithT(t)
	root := project(t)
	g.Expect(os.WriteFile(filepath.Join(root, "deploy/system.toml"), []byte("run = \"other\"\n"), 0o644)).To(Succeed())
	v := paired.Variant{Commit: paired.WorkTree, Settings: []string{"gain=2"}}
	g.Expect(v.Tree(context.Background(), root, t.TempDir())).To(MatchError(paired.ErrVariant))
	g.Expect(paired.Variant{Commit: "none"}.Tree(context.Background(), root, t.TempDir())).To(MatchError(paired.ErrVariant))
}

func TestTheTableNamesDaysClaimsAndBrokenRules(t *testing.T) {
	g := NewWithT(t)
	broken := pairOf(0.5, 0.1)
	broken.Site, broken.Day, broken.Seed = "one", "busy", 7
	broken.B.Broken = []string{"TWICE"}
	var text strings.Builder
	paired.WriteTable(&text, paired.Variant{Commit: "a"}, paired.Variant{Commit: "b"}, []paired.Pair{pairOf(0.5, 0.6), pairOf(0.5, 0.7), broken})
	g.Expect(text.String()).To(ContainSubstring("| d | 2 | 0.500 | 0.650 | +0.150 ± 0.050 |"))
	g.Expect(text.String()).To(ContainSubstring("too few pairs"))
	g.Expect(text.String()).To(ContainSubstring("B broke TWICE on one busy seed 7."))
	g.Expect(text.String()).To(ContainSubstring("| all | 3 |"))
}

func TestAVariantThatWasPlayedIsNotPlayedAgain(t *testing.T) {
	g := NewWithT(t)
	root := project(t)
	bench := filepath.Join(t.TempDir(), "bench")
	g.Expect(os.WriteFile(bench, []byte(fakeBench), 0o755)).To(Succeed())
	file := filepath.Join(t.TempDir(), "cache.json")
	run := func(commit, program string) ([]paired.Pair, error) {
		cache, err := paired.OpenCache(file)
		g.Expect(err).NotTo(HaveOccurred())
		e := &paired.Experiment{
			Root: root, Site: "one.toml", Days: []string{"quiet"}, Seeds: []int64{1, 2}, Jobs: 1, Cache: cache,
			A: paired.Variant{Commit: commit}, B: paired.Variant{Commit: "HEAD", Settings: []string{"gain=2"}},
		}
		pairs, err := e.Run(context.Background(), &paired.Bench{Program: program})
		g.Expect(cache.Save()).To(Succeed())
		return pairs, err
	}
	first, err := run("HEAD", bench)
	g.Expect(err).NotTo(HaveOccurred())
	again, err := run("HEAD", "/no/bench")
	g.Expect(err).NotTo(HaveOccurred(), "all results are known")
	g.Expect(again).To(Equal(first))
	_, err = run(paired.WorkTree, "/no/bench")
	g.Expect(err).To(MatchError(paired.ErrPlay), "the working tree is played anew")
}

// A variant is played from a copy without the project's history, in which the version in
// production is not to be found.
func TestACopyOfAVariantNamesNoVersionInProduction(t *testing.T) {
	g := NewWithT(t)
	root := project(t)
	text := "production = \"0123\"\n[roles.entry]\nrun = \"target/troutmastd\"\n"
	g.Expect(os.WriteFile(filepath.Join(root, "deploy/system.toml"), []byte(text), 0o644)).To(Succeed())
	dir := t.TempDir()
	g.Expect(paired.Variant{Commit: paired.WorkTree, Settings: []string{"gain=2"}}.Tree(context.Background(), root, dir)).To(Succeed())
	copied, err := os.ReadFile(filepath.Join(dir, "deploy/system.toml"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(copied)).To(Equal("[roles.entry]\nrun = \"target/troutmastd --gain=2\"\n"))
}
