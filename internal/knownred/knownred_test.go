package knownred_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/knownred"
)

func TestAListIsReadLineByLine(t *testing.T) {
	const good = "# none of these\n\nTestA | go test ./p -run TestA | it leaks | issue 1\n"
	for _, c := range []struct {
		name string
		text string
		fail string
	}{
		{"entries and remarks", good, ""},
		{"nothing", "", ""},
		{"a field too few", "TestA | it leaks | issue 1\n", "line 1"},
		{"nothing seen", "\nTestA | go test ./p |  | issue 1\n", "line 2"},
		{"a subtest", "TestA/b | go test ./p | it leaks | issue 1\n", "no top-level test"},
		{"too many", strings.Repeat(good, 4), "3 at most"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			list, err := knownred.Parse(strings.NewReader(c.text))
			if c.fail != "" {
				g.Expect(err).To(MatchError(knownred.ErrList))
				g.Expect(err).To(MatchError(ContainSubstring(c.fail)))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			for _, e := range list {
				g.Expect(e).To(Equal(knownred.Entry{Test: "TestA", Command: "go test ./p -run TestA", Seen: "it leaks", Issue: "issue 1"}))
			}
		})
	}
}

// Lines of go test -json.
const (
	passB     = `{"Action":"pass","Package":"p","Test":"TestB"}`
	failA     = `{"Action":"fail","Package":"p","Test":"TestA"}`
	failASub  = `{"Action":"fail","Package":"p","Test":"TestA/case"}`
	passA     = `{"Action":"pass","Package":"p","Test":"TestA"}`
	failC     = `{"Action":"fail","Package":"p","Test":"TestC"}`
	whyC      = `{"Action":"output","Package":"p","Test":"TestC","Output":"expected 1\n"}`
	failP     = `{"Action":"fail","Package":"p"}`
	passP     = `{"Action":"pass","Package":"p"}`
	failBuild = `{"Action":"fail","Package":"q","FailedBuild":"q"}`
	panics    = `{"Action":"output","Package":"p","Test":"TestA","Output":"panic: boom\n"}`
	skipD     = `{"Action":"skip","Package":"p","Test":"TestD"}`
)

func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	known := []knownred.Entry{{Test: "TestA", Command: "go test ./p -run TestA", Seen: "it leaks", Issue: "issue 1"}}
	for _, c := range []struct {
		name   string
		known  []knownred.Entry
		lines  []string
		passes bool
		prints []string
	}{
		{"all pass", nil, []string{passB, skipD, passP}, true, []string{"1 passed, 0 failed, 1 skipped"}},
		{"a listed test fails", known, []string{passB, failASub, failA, failP}, true, []string{"known failure: TestA: it leaks (go test ./p -run TestA; issue 1)", "1 passed, 0 failed"}},
		{"an unlisted test fails", known, []string{passB, failA, whyC, failC, failP}, false, []string{"expected 1\nTestC failed in p", "1 passed, 1 failed"}},
		{"a listed test passes", known, []string{passB, passA, passP}, false, []string{"TestA is listed as a known failure and did not fail"}},
		{"a listed test does not run", known, []string{passB, passP}, false, []string{"did not fail"}},
		{"a build fails", known, []string{passB, failA, failP, failBuild}, false, []string{"the build of q failed"}},
		{"a package fails without a failed test", nil, []string{passB, failP}, false, []string{"package p failed"}},
		{"a listed test ends the process", known, []string{passB, panics, failA, failP}, false, []string{"package p failed"}},
		{"no test ran", nil, []string{passP}, false, []string{"0 passed"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var out bytes.Buffer
			run := knownred.NewRun(c.known, &out)
			text := strings.Join(c.lines, "\n")
			g.Expect(run.Read(strings.NewReader(text))).To(Succeed())
			g.Expect(run.Close(strings.Contains(text, `"fail"`))).To(Equal(c.passes), out.String())
			for _, p := range c.prints {
				g.Expect(out.String()).To(ContainSubstring(p))
			}
		})
	}
}

func TestAFailedRunMustShowItsReason(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	run := knownred.NewRun(nil, &out)
	g.Expect(run.Read(strings.NewReader(passB))).To(Succeed())
	g.Expect(run.Close(true)).To(BeFalse())
	g.Expect(knownred.NewRun(nil, &out).Read(strings.NewReader("no JSON"))).NotTo(Succeed())
}
