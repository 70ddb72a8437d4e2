package schedule

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/scheduling"
	"github.com/troutmast/troutmast/protocol/direct"
)

// Guards against latencies that pile up at a node while nobody asks for decisions.
func TestLatenciesOfAPoolAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := NewClient(scheduling.DefaultPolicy(), direct.Dialer{}, clockwork.NewRealClock(), nil, nil)
	pool := scheduling.Pool{Service: "lm", Model: "m"}
	for i := range 100 {
		c.RecordLatency(pool, scheduling.Sample{Instance: "head", Latency: time.Duration(i) * time.Millisecond})
	}
	samples := c.TakeSamples(pool)
	g.Expect(samples).To(HaveLen(maxSamples))
	g.Expect(samples[maxSamples-1].Latency).To(Equal(99 * time.Millisecond))
	g.Expect(c.TakeSamples(pool)).To(BeEmpty())
}

// Guards against messages for decisions that grow with the number of nodes, teams or groups.
func TestScheduleMessagesAreSmall(t *testing.T) {
	g := NewWithT(t)
	r := Request{
		Service: "a-language-model-service", Model: "a-model-of-12-instances", Team: "a-team-with-a-long-name", Hall: "a-hall-of-the-region", Prompt: 12345, GoalMS: 1000,
		LeftMS: 12345, Priority: 9, Returning: true, Resuming: true,
	}
	for range 4 { // a request is sent to no more instances
		r.Excluded = append(r.Excluded, "i-0123456789abcdef")
	}
	for range maxSamples {
		r.Samples = append(r.Samples, Sample{Instance: "i-0123456789abcdef", MS: 12345})
	}
	raw, err := json.Marshal(&r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(raw)).To(BeNumerically("<", 700))
	raw, err = json.Marshal(&Answer{Decided: true, Instance: "i-0123456789abcdef", WaitMS: 12345, Refused: true, RetryAfterMS: 12345, Reason: scheduling.WaitTooLong})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(raw)).To(BeNumerically("<", 150))
}
