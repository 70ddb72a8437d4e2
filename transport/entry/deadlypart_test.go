package entry_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// soundInterval is the interval at which sound requests are sent beside the deadly ones.
const soundInterval = 10 * time.Millisecond

// endingsToIdentify is how many instances may end before all nodes must know the part that ends them.
const endingsToIdentify = 5

// lateSendsAfter returns how often a deadly request reached an instance later than propagationTime after the given
// number of crashes, and the total number of crashes.
func (c *crashingInstances) lateSendsAfter(count int) (late, crashes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < count {
		return 0, len(c.crashes)
	}
	for _, at := range c.sends {
		if at.Sub(c.crashes[count-1]) > propagationTime {
			late++
		}
	}
	return late, len(c.crashes)
}

// Requests with one part in their prompts crash each instance that runs them. No two are alike, so that no request
// crashes more than a few instances; sound requests share their caller and all other parts.
func TestDeadlyPartOfPromptsIsStopped(t *testing.T) {
	g := NewWithT(t)
	s := &store{topics: map[source.Topic][]source.Item{}}
	s.add(source.Configuration, "config", 1)
	instances := newCrashingInstances(t, s, 12, newID)
	nodes := startCrashNodes(t, s, 3)
	client := &http.Client{Timeout: 2 * time.Second}
	var mu sync.Mutex
	late := map[int]int{} // responses to sound requests after propagationTime
	began := time.Now()
	end := began.Add(propagationTime + 4*time.Second)
	var callers sync.WaitGroup
	send := func(interval time.Duration, parts func(n int) string, answered func(code int)) {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				at := nodes[rand.N(len(nodes))].set.CallerAddress
				callers.Go(func() {
					id := parts(n)
					code, _ := postWithParts(client, at, id, id, id)
					answered(code)
				})
				time.Sleep(interval)
			}
		})
	}
	send(deadlyInterval, func(n int) string { return fmt.Sprintf("first topic-%d %s own-%d", n%3, deadly, n) }, func(int) {})
	send(soundInterval, func(n int) string { return fmt.Sprintf("first topic-%d sound-%d", n%3, n) }, func(code int) {
		mu.Lock()
		defer mu.Unlock()
		if time.Since(began) > propagationTime+2*restartAfter {
			late[code]++
		}
	})
	callers.Wait()
	sent, crashes := instances.lateSendsAfter(endingsToIdentify)
	t.Logf("%d crashes, %d late sends, sound requests afterwards by status: %v", crashes, sent, late)
	g.Expect(crashes).To(BeNumerically(">=", 3), "too few crashes to identify the part as deadly")
	g.Expect(sent).To(BeNumerically("<=", maxLateSends))
	g.Expect(late).To(HaveLen(1), "requests without the part are served")
	g.Expect(late[http.StatusOK]).To(BeNumerically(">", 0))
}
