package paired

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
)

// Variant is a commit of the project, with settings that differ from the defaults.
type Variant struct {
	// Commit is anything that git understands; "work" is the working tree as it stands.
	Commit string
	// Settings are added to the daemon's command line, as --name=value.
	Settings []string
}

// WorkTree names the uncommitted working tree as a variant's commit.
const WorkTree = "work"

// ParseVariant reads COMMIT[,NAME=VALUE...].
func ParseVariant(text string) (Variant, error) {
	parts := strings.Split(text, ",")
	v := Variant{Commit: parts[0]}
	if v.Commit == "" {
		return v, fmt.Errorf("%w: %q names no commit", ErrVariant, text)
	}
	for _, s := range parts[1:] {
		if name, value, ok := strings.Cut(s, "="); !ok || name == "" || value == "" {
			return v, fmt.Errorf("%w: %q is not NAME=VALUE", ErrVariant, s)
		}
		v.Settings = append(v.Settings, s)
	}
	return v, nil
}

// String returns the text that ParseVariant reads.
func (v Variant) String() string { return strings.Join(append([]string{v.Commit}, v.Settings...), ",") }

// deployFile says how the daemon is started, relative to the root of the project.
const deployFile = "deploy/system.toml"

// productionLine is the line of the deploy file that names the version in production.
var productionLine = regexp.MustCompile(`(?m)^production *=.*\n`)

// daemon is the program in the deploy file whose command line takes the settings.
const daemon = "target/troutmastd"

// Tree makes a copy of the variant's sources in dir, with its settings in the deploy file.
func (v Variant) Tree(ctx context.Context, root, dir string) error {
	if err := v.export(ctx, root, dir); err != nil {
		return err
	}
	path := filepath.Join(dir, deployFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrVariant, err)
	}
	run := daemon
	for _, s := range v.Settings {
		run += " --" + s
	}
	changed := strings.Replace(string(text), daemon+`"`, run+`"`, 1)
	if changed == string(text) && len(v.Settings) > 0 {
		return fmt.Errorf("%w: %s does not run %s", ErrVariant, deployFile, daemon)
	}
	// The copy has no history from which the version in production could be built.
	changed = productionLine.ReplaceAllString(changed, "")
	if err := os.WriteFile(path, []byte(changed), 0o644); err != nil {
		return fmt.Errorf("%w: %w", ErrVariant, err)
	}
	return nil
}

// export copies the files that git knows of into dir.
func (v Variant) export(ctx context.Context, root, dir string) error {
	script := `git archive --format=tar "$1" -- . ':!journal' | tar -x -C "$2"`
	if v.Commit == WorkTree {
		script = `git ls-files -z --cached --others --exclude-standard -- . ':!journal' | tar -c --null --ignore-failed-read -T - | tar -x -C "$2"`
	}
	cmd := exec.CommandContext(ctx, "bash", "-o", "pipefail", "-c", script, "export", v.Commit, dir)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s: %w: %s", ErrVariant, v, err, out)
	}
	return nil
}
