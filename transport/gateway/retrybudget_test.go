package gateway_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/retry"
)

// A process that forgets its retries when an operator changes the bounds may send a whole budget again.
func TestNewRetryBoundsKeepTheCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds retry.SharedBudgetConfig
		want   int
	}{
		{"another slack", retry.SharedBudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, 1},
		{"another window, in which nothing was counted", retry.SharedBudgetConfig{Ratio: 0.2, Slack: 100, Window: 20 * time.Second}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t)
			h.addInstance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) })
			g.Expect(h.call(http.MethodGet, "/safe/x", "", nil).status).To(Equal(http.StatusOK))
			h.gateway.SetRetryBounds(c.bounds)
			g.Expect(h.gateway.RetryBounds()).To(Equal(c.bounds))
			now := time.Now()
			g.Expect(h.gateway.RetryBudgets(now)["plain"].Attempts).To(Equal(c.want))
			g.Expect(h.gateway.IsRetryWithheld(now)).To(Equal(c.want == 0))
			if c.want > 0 {
				g.Expect(h.gateway.RetryBudgets(now)["plain"].Share).To(Equal(c.bounds.Slack))
			}
		})
	}
}
