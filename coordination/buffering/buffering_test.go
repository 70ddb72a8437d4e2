package buffering_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // the same cases in every run

	"github.com/troutmast/troutmast/coordination/buffering"
)

// newAccounts returns accounts with a bound of the node and one of each stream, in bytes.
func newAccounts(node int64, stream int) *buffering.Accounts {
	return buffering.NewAccounts(node, buffering.Policy{MemoryFraction: 1, StreamBytes: stream})
}

// reader is an account and what a simple model knows of it.
type reader struct {
	account         *buffering.Account
	request, unread int64
	cuts            []buffering.Cut
	closed          bool
}

// isOpen reports whether the reader can still hold unread bytes.
func (r *reader) isOpen() bool { return !r.closed && len(r.cuts) == 0 }

// node is a node in a drawn sequence of events.
type node struct {
	rt       *rapid.T
	bound    int64
	stream   int64
	accounts *buffering.Accounts
	readers  []*reader
	// added is what the current event adds to a request.
	added int64
}

// held returns the number of bytes that the model counts.
func (n *node) held() int64 {
	var sum int64
	for _, r := range n.readers {
		sum += r.request + r.unread
	}
	return sum
}

// open opens an account whose cuts are checked as they happen.
func (n *node) open() *reader {
	r := &reader{}
	r.account = n.accounts.Open(func(c buffering.Cut) { n.checkCut(r, c) })
	n.readers = append(n.readers, r)
	return r
}

// checkCut checks that a cut has its reason, and takes it into the model.
func (n *node) checkCut(r *reader, c buffering.Cut) {
	if len(r.cuts) > 0 || r.closed {
		n.rt.Fatalf("a reader is cut off twice, or after its end")
	}
	r.cuts = append(r.cuts, c)
	unread := r.unread
	r.unread = 0
	if c.Unread != unread {
		n.rt.Fatalf("the cut states %d unread bytes, the reader held %d", c.Unread, unread)
	}
	if c.Reason == buffering.Stream && unread < n.stream {
		n.rt.Fatalf("a reader is cut off at %d of %d bytes", unread, n.stream)
	}
	if c.Reason != buffering.Node {
		return
	}
	if n.held()+unread+n.added <= n.bound {
		n.rt.Fatalf("a reader is cut off although the node holds %d of %d bytes", n.held()+unread+n.added, n.bound)
	}
	for _, other := range n.readers {
		if other.unread > unread {
			n.rt.Fatalf("a reader of %d bytes is cut off, another holds %d", unread, other.unread)
		}
	}
}

// step performs one drawn event.
func (n *node) step() {
	if len(n.readers) == 0 || rapid.IntRange(0, 9).Draw(n.rt, "event") == 0 {
		n.open()
		return
	}
	r := rapid.SampledFrom(n.readers).Draw(n.rt, "reader")
	if r.closed {
		return
	}
	amount := rapid.Int64Range(0, n.bound/2).Draw(n.rt, "bytes")
	switch rapid.SampledFrom([]string{"body", "unread", "unread", "read", "sent", "end", "idle", "full"}).Draw(n.rt, "kind") {
	case "body":
		n.addRequest(r, amount)
	case "unread":
		n.addUnread(r, amount)
	case "read":
		r.account.ReleaseUnread(amount)
		r.unread -= min(amount, r.unread)
	case "sent":
		r.account.ReleaseRequest()
		r.request = 0
	case "end":
		r.account.Close()
		r.request, r.unread, r.closed = 0, 0, true
	case "idle":
		r.account.CutIdle()
	case "full":
		r.account.CutFull()
	}
}

// addRequest adds to the body of a request and checks the answer.
func (n *node) addRequest(r *reader, amount int64) {
	var largest int64
	for _, other := range n.readers {
		largest = max(largest, other.unread)
	}
	fits := n.held()+amount <= n.bound
	n.added = amount
	added := r.account.TryAddRequest(amount)
	n.added = 0
	if fits && !added {
		n.rt.Fatalf("a request of %d bytes is refused although the node has room", amount)
	}
	if !fits && added && largest <= r.request+amount {
		n.rt.Fatalf("a request that holds the most is not refused")
	}
	if added {
		r.request += amount
	}
}

// addUnread adds to the unread bytes of a response and checks the answer.
func (n *node) addUnread(r *reader, amount int64) {
	if !r.isOpen() {
		if r.account.AddUnread(amount) {
			n.rt.Fatalf("bytes are accepted for a reader that is cut off")
		}
		return
	}
	r.unread += amount
	accepted := r.account.AddUnread(amount)
	if accepted != r.isOpen() {
		n.rt.Fatalf("the answer is %t, the reader is open: %t", accepted, r.isOpen())
	}
}

// For any sequence of events, the node holds no more than its bound, each reader is cut off only for its reason, and nothing is
// counted once all requests have ended.
func TestAccountsStayWithinTheirBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := &node{rt: rt, bound: rapid.Int64Range(4, 1000).Draw(rt, "bound")}
		n.stream = rapid.Int64Range(1, n.bound).Draw(rt, "bound of a stream")
		n.accounts = newAccounts(n.bound, int(n.stream))
		for range rapid.IntRange(1, 200).Draw(rt, "events") {
			n.step()
			if got := n.accounts.Bytes(); got != n.held() || got > n.bound {
				rt.Fatalf("the node counts %d bytes, the model %d, the bound is %d", got, n.held(), n.bound)
			}
		}
		for _, r := range n.readers {
			r.account.Close()
		}
		if got := n.accounts.Bytes(); got != 0 {
			rt.Fatalf("%d bytes are left after all requests have ended", got)
		}
	})
}

// A small request must not be refused because slow readers hold all of the node's bytes, nor a large one cut off many readers.
func TestTheLargestHolderLoses(t *testing.T) {
	for _, c := range []struct {
		name    string
		unread  []int64
		request int64
		added   bool
		cut     []int
	}{
		{"room", []int64{50, 40}, 10, true, nil},
		{"a reader holds more", []int64{40, 60}, 30, true, []int{1}},
		{"the request holds more", []int64{50, 50}, 60, false, nil},
		{"the older of two equal readers", []int64{50, 50}, 10, true, []int{0}},
		{"no reader", nil, 101, false, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newAccounts(100, 1000)
			var cut []int
			for i, n := range c.unread {
				s.Open(func(buffering.Cut) { cut = append(cut, i) }).AddUnread(n)
			}
			g.Expect(s.Open(func(buffering.Cut) {}).TryAddRequest(c.request)).To(Equal(c.added))
			g.Expect(cut).To(Equal(c.cut))
		})
	}
}

// A reader at the bound of its stream is full, and no longer once it has read.
func TestIsFull(t *testing.T) {
	g := NewWithT(t)
	a := newAccounts(1000, 100).Open(func(buffering.Cut) {})
	g.Expect(a.AddUnread(99)).To(BeTrue())
	g.Expect(a.IsFull()).To(BeFalse())
	g.Expect(a.AddUnread(50)).To(BeTrue(), "the read that reaches the bound is kept whole")
	g.Expect(a.IsFull()).To(BeTrue())
	a.ReleaseUnread(50)
	g.Expect(a.IsFull()).To(BeFalse())
}

// Requests use their accounts at the same time; nothing may be lost or counted twice.
func TestConcurrentAccountsReturnToZero(t *testing.T) {
	g := NewWithT(t)
	s := newAccounts(10_000, 1000)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			a := s.Open(func(buffering.Cut) {})
			defer a.Close()
			for i := range int64(200) {
				a.TryAddRequest(i % 7)
				a.AddUnread(i % 300)
				a.ReleaseUnread(i % 250)
				g.Expect(s.Bytes()).To(BeNumerically("<=", s.Bound()))
			}
		})
	}
	wg.Wait()
	g.Expect(s.Bytes()).To(BeZero())
}

// The bound of a small node must leave room for the node itself and for garbage as large as all that it holds, and hold the slow
// streams of all callers of a small node at once: 75 events of 480 bytes for each of 200 callers.
func TestDefaultBoundFitsSmallNodes(t *testing.T) {
	g := NewWithT(t)
	const memory = 184_000_000
	s := buffering.NewAccounts(memory, buffering.DefaultPolicy())
	g.Expect(s.Bound()).To(BeNumerically("<=", memory/3))
	g.Expect(s.Bound()).To(BeNumerically(">", 200*75*480))
	g.Expect(buffering.DefaultPolicy().StreamWait).To(BeNumerically("<", 2*time.Second))
}
