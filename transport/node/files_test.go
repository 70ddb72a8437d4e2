package node_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/caller"
)

var _ = Describe("files of statements", func() {
	It("are checked without a node, compared with what is in force, and carried out", func() {
		w := newWorld(2, []string{hallA})
		n := w.Nodes[0]
		dir, err := os.MkdirTemp("", "troutmast-files")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, dir)
		write := func(text string) string {
			path := filepath.Join(dir, "conf.trout")
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			return path
		}
		bad := write("show groups;\ncreate grup g;")
		out, code := w.Ctl(n, "check", bad)
		Expect(code).To(Equal(3))
		Expect(out).To(ContainSubstring("line 2, column 8"))

		good := write("# the trust's configuration\n" +
			"create team clerks key " + caller.HashKey("k") + ";\n" +
			"allow team clerks in " + hallA + " places 8 priority alert;\n" +
			"set policy downtime 1 stranded 5 restart 2m load 30s;\n" +
			"begin; create group g model lm version v1 with gpu-1, gpu-2; commit;\n")
		out, code = w.Ctl(n, "check", good)
		Expect(out).To(HavePrefix("4 statements"))
		Expect(code).To(Equal(0))
		out, code = w.Ctl(n, "diff", good)
		Expect(code).To(Equal(5))
		Expect(out).To(And(ContainSubstring(`+ groups group="g"`), ContainSubstring(`+ teams team="clerks"`), ContainSubstring(`stranded "1" -> "5"`)))
		Eventually(func() int { _, code := w.Ctl(n, "apply", good); return code }, "10s").Should(Equal(0))
		out, code = w.Ctl(n, "diff", good)
		Expect(out).To(Equal("nothing would change\n"))
		Expect(code).To(Equal(0))

		out, code = w.Ctl(n, "apply", good)
		Expect(code).To(Equal(3))
		Expect(out).To(And(ContainSubstring("team-exists"), ContainSubstring("stopped at statement 1 of 4")))
		changed := write("bind group g model lm version v2;")
		out, _ = w.Ctl(n, "diff", changed)
		Expect(out).To(ContainSubstring(`~ groups group="g": version "v1" -> "v2"`))
	})
})
