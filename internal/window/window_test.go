package window

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed"
)

// A bound on what happens within a window holds only if nothing within it is left out; what
// is counted for longer must be short against the window.
func TestNothingWithinTheWindowIsLeftOut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		length := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
		now := time.Unix(int64(rapid.IntRange(-1000, 1000).Draw(t, "start")), 0)
		var c Counter
		var events []time.Time
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			c.Add(now, length)
			events = append(events, now)
			least, most := 0, 0
			for _, e := range events {
				if now.Sub(e) < length {
					least++
				}
				if now.Sub(e) < length+length/parts {
					most++
				}
			}
			g.Expect(c.Within(now, length)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		}
	})
}
