package main_test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/platform"
)

// A node with an invalid settings file must exit at once with code 2 and name every invalid field.
func TestInvalidSettingsStopTheStart(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	binary := filepath.Join(dir, "troutmastd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	for _, c := range []struct {
		name, text string
		fields     []string
	}{
		{"empty", "", []string{"node", "zone", "listen.front", "listen.ready", "platform.address", "bounds.grace_s"}},
		{"no TOML", "node = = 1", []string{"settings"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			path := filepath.Join(dir, "settings.toml")
			g.Expect(os.WriteFile(path, []byte(c.text), 0o600)).To(Succeed())
			cmd := exec.Command(binary)
			cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			var exit *exec.ExitError
			g.Expect(errors.As(cmd.Run(), &exit)).To(BeTrue())
			g.Expect(exit.ExitCode()).To(Equal(2))
			for _, field := range c.fields {
				g.Expect(stderr.String()).To(ContainSubstring(field))
			}
		})
	}
}
