package upgrade

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/troutmast/troutmast/platform/standin"
)

// outcome is how a call ended for its caller.
type outcome string

// The outcomes of a call.
const (
	served  outcome = "served"
	refused outcome = "refused"
	failed  outcome = "failed"
	// cut means that the connection ended without a whole answer.
	cut outcome = "cut"
	// unread means that the node reset the connection before it answered: it had not read the request.
	unread outcome = "unread"
	// left means that the caller closed the connection before the node had read the request.
	left outcome = "left"
)

// attempt is one request of a caller to a node.
type attempt struct {
	id   string
	node *node
	path string
	body string
	key  string
	// smallModel is the name of the model of the small groups that the caller asks for.
	smallModel string
	// operation is the same for all attempts of a caller at one thing.
	operation string
	began     time.Time
	took      time.Duration
	status    int
	outcome   outcome
	// wrong is what is wrong with an answer that looks whole.
	wrong string
}

// callers send requests to the nodes that are ready, over kept connections and new ones.
type callers struct {
	nodes  []*node
	client *http.Client
	rng    *rand.Rand

	mu     sync.Mutex
	number int
	// smallModel is the name of the model of the small groups; empty for the first one.
	smallModel string
	in         map[*node]bool
	attempts   []attempt
	active     sync.WaitGroup
}

// Times of callers.
const (
	callEvery  = 25 * time.Millisecond
	callTime   = 4 * time.Second
	checkEvery = 250 * time.Millisecond
	// missedChecks is how many checks a node misses until it gets no further requests.
	missedChecks = 2
)

// newCallers returns callers of some nodes.
func newCallers(nodes []*node, seed uint64) *callers {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second, DisableCompression: true}
	return &callers{
		nodes: nodes, client: &http.Client{Transport: transport, Timeout: callTime}, rng: rand.New(rand.NewPCG(seed, 2)), in: map[*node]bool{},
	}
}

// watch takes nodes that say they are not ready out, until the context ends.
func (c *callers) watch(ctx context.Context) {
	probe := &http.Client{Timeout: checkEvery}
	missed := map[*node]int{}
	for ctx.Err() == nil {
		for _, n := range c.nodes {
			if n.ready(probe) {
				missed[n] = 0
			} else {
				missed[n]++
			}
			c.mu.Lock()
			c.in[n] = missed[n] < missedChecks
			c.mu.Unlock()
		}
		time.Sleep(checkEvery)
	}
}

// run sends requests until the context ends, and waits for their answers.
func (c *callers) run(ctx context.Context) {
	for ctx.Err() == nil {
		n, path := c.choose()
		if n != nil {
			c.active.Go(func() { c.call(n, path, "x", standin.Key) })
		}
		time.Sleep(callEvery)
	}
	c.active.Wait()
}

// choose draws a node that is in and a path.
func (c *callers) choose() (*node, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var in []*node
	for _, n := range c.nodes {
		if c.in[n] {
			in = append(in, n)
		}
	}
	if len(in) == 0 {
		return nil, ""
	}
	paths := []string{standin.StreamPath, standin.OncePath, standin.SmallPath, standin.UnsafePath, standin.SafePath}
	return in[c.rng.IntN(len(in))], paths[c.rng.IntN(len(paths))]
}

// setSmallModel has callers ask for another model of the small groups.
func (c *callers) setSmallModel(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.smallModel = name
}

// call sends a request, and once more to another node if it has certainly not run.
func (c *callers) call(n *node, path, body, key string) attempt {
	a := c.try(n, path, body, key)
	if a.outcome != refused && a.outcome != unread {
		return a
	}
	if again, _ := c.choose(); again != nil {
		time.Sleep(100 * time.Millisecond)
		return c.repeat(again, a)
	}
	return a
}

// try sends one request and judges its answer.
func (c *callers) try(n *node, path, body, key string) attempt {
	return c.send(c.newAttempt(n, path, body, key))
}

// repeat sends the request of an earlier attempt to a node.
func (c *callers) repeat(n *node, earlier attempt) attempt {
	a := c.newAttempt(n, earlier.path, earlier.body, earlier.key)
	a.operation = earlier.operation
	return c.send(a)
}

// newAttempt returns an attempt that begins now.
func (c *callers) newAttempt(n *node, path, body, key string) attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	id := fmt.Sprintf("%s.%d", n.machine.Name, c.number)
	return attempt{id: id, operation: id, node: n, path: path, body: body, key: key, smallModel: c.smallModel, began: time.Now()}
}

// send makes the request of an attempt and records the attempt.
func (c *callers) send(a attempt) attempt {
	c.exchange(&a, a.node.machine.Front)
	a.took = time.Since(a.began)
	c.record(a)
	return a
}

// record adds an attempt that has ended.
func (c *callers) record(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// text returns the body of the request of an attempt.
func (a *attempt) text() string {
	if a.body == standin.DeadlyBody {
		return a.body
	}
	return a.body + "." + a.operation
}

// request returns the request of an attempt to an address.
func (a *attempt) request(at netip.AddrPort) (*http.Request, error) {
	return standin.NewRequest(at, standin.Call{ID: a.id, Path: a.path, Body: a.text(), Key: a.key, Patience: callTime, SmallModel: a.smallModel})
}

// exchange makes the request of an attempt.
func (c *callers) exchange(a *attempt, at netip.AddrPort) {
	req, err := a.request(at)
	if err != nil {
		a.outcome, a.wrong = failed, err.Error()
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.outcome = cut
		if errors.Is(err, syscall.ECONNRESET) {
			a.outcome = unread
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.judge(resp)
}

// judge reads the answer to an attempt and sets its outcome.
func (a *attempt) judge(resp *http.Response) {
	a.status = resp.StatusCode
	raw, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		a.outcome = cut
	case standin.AnsweredID(resp) != a.id:
		a.outcome, a.wrong = failed, "an answer to another request"
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		a.outcome = refused
	case resp.StatusCode != http.StatusOK:
		a.outcome = failed
	default:
		a.outcome, a.wrong = served, wrongAnswer(a.path, string(raw), a.text())
	}
}

// wrongAnswer returns what is wrong with a success, or nothing.
func wrongAnswer(path, got, text string) string {
	if !standin.IsStream(path) {
		if got != text {
			return "another body"
		}
		return ""
	}
	next := 1
	for line := range strings.Lines(got) {
		if data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			if data != fmt.Sprintf("%s-%d", text, next) {
				return fmt.Sprintf("event %q in the place of number %d", data, next)
			}
			next++
		}
	}
	if next != standin.Events+1 {
		return fmt.Sprintf("%d events", next-1)
	}
	return ""
}

// all returns the attempts so far.
func (c *callers) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}
