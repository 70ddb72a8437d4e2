// Package border checks that only the folder platform/ knows the users' platform.
package border

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// platformImport is the import path that only the daemon's wiring may use.
const platformImport = `"github.com/troutmast/troutmast/platform"`

// words are names of the platform that stand nowhere else in the code.
var words = []string{
	"X-Response-Seal", "X-Expect-Instance", "X-Not-Executed", "X-Deadline-Ms", "X-Tenant", "X-Urgency", "X-Prompt-Prefix",
	"X-Token-Count", "X-Model", "At-Server", "Server-Leaving", "Server-Limit", "X-Weight-Versions", "keyed.", "log-append", "log-read", "log-newest", "expect_rev",
	"api_keys", "path_prefix", "max_attempts", "loads_per_s", "cold_left_ms", "TROUTMAST_NODE_FILE", "tenant", "back end",
}

// sources calls a function with the path and the text of every Go file outside platform/, tests apart.
func sources(t *testing.T, visit func(path, text string)) {
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, _ := filepath.Rel(root, path)
		if d.IsDir() && (name == "platform" || name == "target" || strings.HasPrefix(name, ".") && name != ".") {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		visit(filepath.ToSlash(name), string(text))
		return err
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

func TestOnlyTheDaemonImportsThePlatform(t *testing.T) {
	importers := 0
	sources(t, func(path, text string) {
		if !strings.Contains(text, platformImport) {
			return
		}
		importers++
		NewWithT(t).Expect(path).To(HavePrefix("cmd/troutmastd/"))
	})
	NewWithT(t).Expect(importers).To(BeNumerically(">", 0), "the check found no importer at all")
}

func TestNobodyElseSpeaksThePlatformsWords(t *testing.T) {
	files := 0
	sources(t, func(path, text string) {
		files++
		for _, w := range words {
			NewWithT(t).Expect(strings.Contains(strings.ToLower(text), strings.ToLower(w))).To(BeFalse(), "%s says %q", path, w)
		}
	})
	NewWithT(t).Expect(files).To(BeNumerically(">", 50), "the check read too few files")
}

func TestThePlatformFolderStaysSmall(t *testing.T) {
	const most = 1200
	lines := 0
	entries, err := filepath.Glob(filepath.Join("..", "..", "platform", "*.go"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, path := range entries {
		text, err := os.ReadFile(path)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		if !strings.HasSuffix(path, "_test.go") {
			lines += strings.Count(string(text), "\n")
		}
		if !strings.HasSuffix(path, "_test.go") {
			for _, decides := range []string{"time.After", "time.Sleep", "NewTimer", "NewTicker", "rand."} {
				NewWithT(t).Expect(string(text)).NotTo(ContainSubstring(decides), path)
			}
		}
	}
	NewWithT(t).Expect(lines).To(BeNumerically("<=", most))
	NewWithT(t).Expect(lines).To(BeNumerically(">", 100))
}
