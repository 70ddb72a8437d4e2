package caller_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/caller"
)

// TestOperatorsPageExplainsEveryCode holds the page against the codes that callers can be told.
func TestOperatorsPageExplainsEveryCode(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	for _, code := range caller.Codes() {
		g.Expect(string(page)).To(ContainSubstring("`" + string(code) + "`"))
	}
}

// constant finds the value of a typed string constant in a source file.
var constant = regexp.MustCompile(`(?m)^\s+(?:Code|Reason)\w+\s+(?:(?:Code|Reason)\s+)?= "([a-z0-9-]+)"`)

// TestEveryCodeInTheSourceIsExplained finds codes that the lists have forgotten.
func TestEveryCodeInTheSourceIsExplained(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	listed := map[string]bool{}
	for _, code := range caller.Codes() {
		listed[string(code)] = true
	}
	found := 0
	for _, file := range []string{"failure.go", "ticket.go", "../../coordination/admission/admission.go", "../../state/errors.go", "../operator/operator.go"} {
		source, err := os.ReadFile(filepath.FromSlash(file))
		g.Expect(err).NotTo(HaveOccurred())
		for _, m := range constant.FindAllStringSubmatch(string(source), -1) {
			found++
			g.Expect(string(page)).To(ContainSubstring("`"+m[1]+"`"), file)
			if !strings.Contains(file, "state") && !strings.Contains(file, "operator") {
				g.Expect(listed).To(HaveKey(m[1]))
			}
		}
	}
	g.Expect(found).To(BeNumerically(">", 40))
}
