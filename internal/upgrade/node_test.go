package upgrade

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a run that passes although nodes ended, since the others served.
func TestJudgeFindsProcessThatEndsByItself(t *testing.T) {
	for _, c := range []struct {
		name, script string
		end          func(*node)
		violations   int
	}{
		{"ends by itself", "exit 2", func(n *node) { <-n.ex.done }, 1},
		{"killed by the run", "exec sleep 60", func(n *node) { n.kill() }, 0},
		{"stopped as planned", "exec sleep 60", func(n *node) { n.stop(t.Context()) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			dir := t.TempDir()
			program := filepath.Join(dir, "node")
			g.Expect(os.WriteFile(program, []byte("#!/bin/sh\n"+c.script+"\n"), 0o755)).To(Succeed())
			n := place(0, dir, netip.MustParseAddr("127.0.0.1"), netip.AddrPort{}, nil, nil)
			g.Expect(n.start(Build{Program: program})).To(Succeed())
			c.end(n)
			m := newMade()
			m.judge.run.nodes = append(m.judge.run.nodes, n)
			m.judge.processes()
			g.Expect(m.judge.report.Violations).To(HaveLen(c.violations))
		})
	}
}
