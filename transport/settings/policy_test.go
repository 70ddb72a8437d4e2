package settings_test

import (
	"testing"
	"time"

	"github.com/integrii/flaggy"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/entry"
	"github.com/troutmast/troutmast/transport/settings"
)

// samplePolicy has a field of every kind.
type samplePolicy struct {
	Part struct {
		Wait  time.Duration `flag:"wait" help:"a time" min:"10ms" max:"1s"`
		Ratio float64       `flag:"ratio" help:"a ratio" min:"0" max:"1"`
		Most  int           `flag:"most" help:"a number" min:"1" max:"9"`
		On    bool          `flag:"on" help:"a switch"`
	} `flag:"part"`
}

// newSample returns a policy with its defaults.
func newSample() *samplePolicy {
	p := &samplePolicy{}
	p.Part.Wait, p.Part.Ratio, p.Part.Most, p.Part.On = 100*time.Millisecond, 0.5, 3, true
	return p
}

// none is an environment without variables.
func none(string) (string, bool) { return "", false }

func TestAPolicyIsReadFromFlagsOverTheEnvironmentOverItsDefaults(t *testing.T) {
	g := NewWithT(t)
	p := newSample()
	env := map[string]string{"TROUTMAST_PART_WAIT": "20ms", "TROUTMAST_PART_MOST": "5"}
	lookup := func(name string) (string, bool) { v, ok := env[name]; return v, ok }
	g.Expect(settings.ParsePolicy(flaggy.NewParser("t"), p, []string{"--part-most=7", "--part-on=false"}, lookup)).To(Succeed())
	g.Expect(p.Part.Wait).To(Equal(20 * time.Millisecond))
	g.Expect(p.Part.Ratio).To(Equal(0.5))
	g.Expect(p.Part.Most).To(Equal(7))
	g.Expect(p.Part.On).To(BeFalse())
}

func TestAllFaultsOfAPolicyAreNamedTogether(t *testing.T) {
	g := NewWithT(t)
	err := settings.ParsePolicy(flaggy.NewParser("t"), newSample(),
		[]string{"--part-wait=2s", "--part-ratio=NaN", "--part-most=0", "--part-on=perhaps"}, none)
	g.Expect(err).To(MatchError(settings.ErrSettings))
	for _, name := range []string{"--part-wait (TROUTMAST_PART_WAIT)", "--part-ratio", "--part-most", "--part-on"} {
		g.Expect(err.Error()).To(ContainSubstring(name))
	}
}

func TestTheDefaultsOfTheNodesPolicyLieWithinTheirBounds(t *testing.T) {
	g := NewWithT(t)
	p := entry.DefaultPolicy()
	names := map[string]bool{}
	var args []string
	for _, s := range settings.PolicyTable(&p) {
		g.Expect(names[s.Flag]).To(BeFalse(), s.Flag)
		g.Expect(s.Help).NotTo(BeEmpty(), s.Flag)
		names[s.Flag] = true
		args = append(args, "--"+s.Flag+"="+s.Default)
	}
	read := entry.Policy{}
	g.Expect(settings.ParsePolicy(flaggy.NewParser("t"), &read, args, none)).To(Succeed())
	g.Expect(read).To(Equal(entry.DefaultPolicy()))
}
