package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/settings"
)

// parse reads settings from arguments and an environment.
func parse(env map[string]string, args ...string) (*settings.Settings, error) {
	lookup := func(name string) (string, bool) { v, ok := env[name]; return v, ok }
	return settings.Parse(flaggy.NewParser("test"), args, lookup)
}

// needed are the settings without a default.
var needed = []string{"--name", "n", "--hall", "h", "--operator-secret", "o", "--peer-secret", "p"}

func TestFlagsOverEnvironmentOverDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := parse(map[string]string{"TROUTMAST_PROBE_INTERVAL": "100ms", "TROUTMAST_STOP_LAG": "9s"}, append(needed, "--stop-lag", "1s")...)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ProbeInterval).To(Equal(100 * time.Millisecond))
	g.Expect(s.StopLag).To(Equal(time.Second))
	g.Expect(s.EvidenceWindow).To(Equal(1500 * time.Millisecond))
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	_, err := parse(map[string]string{"TROUTMAST_PLATFORM": "platform.example", "TROUTMAST_MAX_LOADS": "0"},
		"--operator-secret", "same", "--peer-secret", "same", "--evidence-window", "300ms", "--peers", "127.0.0.1:1,x", "--log-level", "loud")
	for _, want := range []string{
		"--name (TROUTMAST_NAME): must be set",
		"--hall (TROUTMAST_HALL): must be set",
		`--platform (TROUTMAST_PLATFORM): "platform.example" is no ip:port`,
		`--max-loads (TROUTMAST_MAX_LOADS): "0" is no whole number above zero`,
		`--peers (TROUTMAST_PEERS): "x" is no ip:port`,
		"--operator-secret and --peer-secret: the two must differ",
		"--evidence-window (TROUTMAST_EVIDENCE_WINDOW): must exceed",
		"--log-level (TROUTMAST_LOG_LEVEL)",
	} {
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}

// TestOperatorsPageListsEverySetting holds the page's table against the code.
func TestOperatorsPageListsEverySetting(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	g.Expect(err).NotTo(HaveOccurred())
	s := &settings.Settings{}
	rows := 0
	for _, one := range s.Table() {
		row := "| `--" + one.Flag + "` | `" + settings.EnvName(one.Flag) + "` | `" + one.Default + "` | " + one.Help + " |"
		g.Expect(string(page)).To(ContainSubstring(row))
		rows++
	}
	g.Expect(strings.Count(string(page), "| `--")).To(Equal(rows))
}
