package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/gateway"
)

// ok returns a handler that responds with a body.
func ok(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

func TestAnAnswerIsPassedOnUnchanged(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Own", "kept")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, r.Method+" "+r.RequestURI)
	})
	a := l.call(http.MethodPost, "/unsafe/x%2Fy?q=%20z", "body", map[string]string{"Other": "travels", "Connection": "keep-alive"})
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.status).To(Equal(http.StatusCreated))
	g.Expect(a.body).To(Equal("POST /unsafe/x%2Fy?q=%20z"))
	g.Expect(a.header.Get("Seal")).To(Equal("seal-of-a"))
	g.Expect(a.header.Get("Own")).To(Equal("kept"))
	ran := l.journal.all()[0]
	g.Expect(ran.body).To(Equal("body"))
	g.Expect(ran.header.Get("Other")).To(Equal("travels"))
	g.Expect(ran.header.Get("For")).To(Equal("a"))
	g.Expect(ran.header).NotTo(HaveKey("Key"))
	left, _ := strconv.Atoi(ran.header.Get("Left"))
	g.Expect(left).To(And(BeNumerically("<=", 2000), BeNumerically(">", 1000)))
}

func TestRefusalsBeforeAnythingIsSent(t *testing.T) {
	for _, c := range []struct {
		name, path string
		header     map[string]string
		body       string
		prepare    func(l *lab)
		status     int
		comeBack   bool
	}{
		{name: "no id", path: "/safe/", header: map[string]string{"Id": ""}, status: http.StatusBadRequest},
		{name: "no route", path: "/none/", status: http.StatusNotFound},
		{name: "unknown key", path: "/safe/", header: map[string]string{"Key": "other"}, status: http.StatusUnauthorized},
		{name: "too large", path: "/unsafe/", body: strings.Repeat("x", 1001), status: http.StatusRequestEntityTooLarge},
		{name: "no configuration", path: "/safe/", prepare: func(l *lab) { l.know.c = nil }, status: http.StatusServiceUnavailable, comeBack: true},
		{name: "keys may be stale", path: "/safe/", prepare: func(l *lab) { l.know.stale.Store(true) }, status: http.StatusServiceUnavailable, comeBack: true},
		{name: "stopping", path: "/safe/", prepare: func(l *lab) { l.gate.Refuse() }, status: http.StatusServiceUnavailable, comeBack: true},
		{name: "no group of the model", path: "/stream/", header: map[string]string{"Model": "none"}, status: http.StatusServiceUnavailable, comeBack: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("a", "plain", ok("x"))
			if c.prepare != nil {
				c.prepare(l)
			}
			a := l.call(http.MethodPost, c.path, c.body, c.header)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(c.status))
			g.Expect(a.header.Get("Retry-After") != "").To(Equal(c.comeBack))
			g.Expect(l.journal.all()).To(BeEmpty())
		})
	}
}

// staleAfter is a request body that makes the keys stale when it is read.
type staleAfter struct {
	io.Reader
	know *knowledge
}

func (s staleAfter) Read(p []byte) (int, error) {
	s.know.stale.Store(true)
	return s.Reader.Read(p)
}

// Keys can become stale between the key lookup and the send: the body may take long to arrive,
// or the machine may be suspended.
func TestKeysThatBecomeStaleBeforeTheRequestLeavesAreNotTrusted(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "plain", ok("x"))
	req, err := http.NewRequest(http.MethodPost, l.front.URL+"/unsafe/", staleAfter{strings.NewReader("body"), l.know})
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set("Id", "r1")
	req.Header.Set("Key", "k")
	req.Header.Set("Expect", "100-continue") // the client sends the body when the node starts to read it
	client := &http.Client{Transport: &http.Transport{ExpectContinueTimeout: time.Minute}}
	resp, err := client.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body.Close()).To(Succeed())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(l.journal.all()).To(BeEmpty())
}

func TestPublicRoutesNeedNoKeyAndNoFreshKeys(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.know.stale.Store(true)
	l.instance("a", "plain", ok("x"))
	g.Expect(l.call(http.MethodGet, "/public/", "", map[string]string{"Key": ""}).status).To(Equal(http.StatusOK))
}

func TestWhatMayNotBeRepeatedIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer http.HandlerFunc
		status int
	}{
		{"the answer is lost", func(w http.ResponseWriter, _ *http.Request) { cut(w) }, http.StatusBadGateway},
		{"the answer is cut short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "short")
			cut(w)
		}, http.StatusBadGateway},
		{"the answer has no seal", func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("Seal") }, http.StatusBadGateway},
		{"the answer belongs to another", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Id", "other")
			w.Header().Set("Connection", "close")
		}, http.StatusBadGateway},
		{"the instance fails", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
			http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			l.instance("a", "plain", c.answer)
			l.instance("b", "plain", c.answer)
			a := l.call(http.MethodPost, "/unsafe/", "x", nil)
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(a.status).To(Equal(c.status))
			g.Expect(l.journal.all()).To(HaveLen(1))
		})
	}
}

func TestWhatMayBeRepeatedIsTriedAtAnotherInstance(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { cut(w) })
	l.instance("b", "plain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	l.instance("c", "plain", func(w http.ResponseWriter, _ *http.Request) { cut(w) })
	a := l.call(http.MethodGet, "/safe/", "", nil)
	g.Expect(a.status).To(BeNumerically(">=", 500))
	runs := l.journal.all()
	g.Expect(runs).To(HaveLen(2), "at most as many attempts as the route allows")
	g.Expect(runs[0].instance).NotTo(Equal(runs[1].instance))
}

func TestWhatWasNotRunIsSentElsewhereAlsoIfItMayNotBeRepeated(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.at("dead", "plain", deadAddress(t))
	l.instance("full", "plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	l.instance("good", "plain", ok("done"))
	for i := range 6 {
		a := l.call(http.MethodPost, "/unsafe/", "x", map[string]string{"Id": fmt.Sprint("r", i)})
		g.Expect(a.status).To(Equal(http.StatusOK))
		g.Expect(a.body).To(Equal("done"))
	}
}

func TestRefusedEverywhereIsAPromise(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.at("dead", "plain", deadAddress(t))
	a := l.call(http.MethodPost, "/unsafe/", "x", nil)
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestAnAnswerToAnotherRequestIsReadPast(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		conn, buf, _ := http.NewResponseController(w).Hijack()
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwrong")
		_, _ = buf.WriteString("HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSeal: s\r\nContent-Length: 5\r\n\r\nright")
		_ = buf.Flush()
		_ = conn.Close()
	})
	a := l.call(http.MethodPost, "/unsafe/", "x", nil)
	g.Expect(a.status).To(Equal(http.StatusOK))
	g.Expect(a.body).To(Equal("right"))
}

func TestAStreamGoesOnAtAnotherGroup(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	broken := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		if broken++; broken == 1 {
			events(w, last+1, 3)
			_, _ = io.WriteString(w, "id: 4\nda") // incomplete event
			cut(w)
			return
		}
		events(w, last+1, 6)
	}
	l.instance("a", "lm", handler)
	l.instance("b", "lm", handler)
	a := l.call(http.MethodPost, "/stream/", "x", nil)
	g.Expect(a.err).NotTo(HaveOccurred())
	var want strings.Builder
	for i := 1; i <= 6; i++ {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: x%d\n\n", i, i)
	}
	g.Expect(a.body).To(Equal(want.String()))
	runs := l.journal.all()
	g.Expect(runs).To(HaveLen(2))
	g.Expect(runs[1].last).To(Equal("3"))
	g.Expect(a.header.Get("Seal")).To(Equal("seal-of-"+runs[0].instance), "the head of the response is that of the first attempt")
}

// A connection may go silent for good without a reset while its group keeps working. The group
// answers probes, so only the missing events reveal the fault, and the caller gives up after some
// seconds.
func TestAStreamWhoseConnectionGoesSilentGoesOnElsewhere(t *testing.T) {
	for _, c := range []struct {
		name, path string
		events     int
		silent     int
	}{
		{"it may go on elsewhere", "/stream/", 6, 1},
		{"it may not", "/once/", 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			runs, released := 0, make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get("Last"))
				if runs++; runs == 1 {
					events(w, last+1, 3)
					<-released
					return
				}
				events(w, last+1, 6)
			}
			l.instance("a", "lm", handler)
			l.instance("b", "lm", handler)
			looked := make(chan struct{})
			go func() {
				defer close(looked)
				for end := time.Now().Add(gateway.DefaultPolicy().SilentAfter + 500*time.Millisecond); time.Now().Before(end); {
					time.Sleep(50 * time.Millisecond)
					l.gate.Watch.Look()
				}
				close(released)
			}()
			a := l.call(http.MethodPost, c.path, "x", nil)
			<-looked
			g.Expect(a.err).NotTo(HaveOccurred())
			g.Expect(strings.Count(a.body, "id: ")).To(Equal(c.events))
			g.Expect(l.journal.all()).To(HaveLen(1 + c.silent))
			g.Expect(l.counts.counts["attempt.silent"]).To(Equal(c.silent))
		})
	}
}

func TestAStreamThatCannotGoOnNeverLooksWhole(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			l := newLab(t)
			handler := func(w http.ResponseWriter, r *http.Request) {
				last, _ := strconv.Atoi(r.Header.Get("Last"))
				events(w, last+1, last+2)
				cut(w)
			}
			l.instance("a", "lm", handler)
			l.instance("b", "lm", handler)
			a := l.call(http.MethodPost, path, "x", nil)
			g.Expect(a.err).To(HaveOccurred())
			g.Expect(len(l.journal.all())).To(BeNumerically("<=", 2))
		})
	}
}

func TestEventsOutOfOrderEndTheRun(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "lm", func(w http.ResponseWriter, _ *http.Request) {
		events(w, 1, 3)
		events(w, 2, 4)
	})
	a := l.call(http.MethodPost, "/once/", "x", nil)
	g.Expect(a.err).To(HaveOccurred())
	g.Expect(a.body).NotTo(ContainSubstring("x4"))
}

func TestAnAnswerComesAtTheTimeOut(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.instance("a", "plain", func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	a := l.call(http.MethodPost, "/unsafe/", "x", map[string]string{"Patience": "300"})
	g.Expect(a.status).To(Equal(http.StatusGatewayTimeout))
	g.Expect(l.journal.all()).To(HaveLen(1))
}

func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	started, ended := make(chan struct{}), make(chan struct{})
	l.instance("a", "lm", func(w http.ResponseWriter, r *http.Request) {
		events(w, 1, 1)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	l.callWith(ctx, http.MethodPost, "/stream/", "x", nil)
	g.Eventually(ended, 5*time.Second).Should(BeClosed())
	g.Expect(l.journal.all()).To(HaveLen(1))
}

func TestAStalledGroupIsGivenUpAndTheStreamGoesOn(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	stalls := true
	handler := func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		events(w, last+1, last+2)
		if stalls {
			stalls = false
			<-r.Context().Done()
		}
	}
	l.instance("a", "lm", handler)
	l.instance("b", "lm", handler)
	result := make(chan answer, 1)
	go func() { result <- l.call(http.MethodPost, "/stream/", "x", nil) }()
	g.Eventually(func() int {
		l.gate.Watch.Look()
		l.health.mu.Lock()
		defer l.health.mu.Unlock()
		return l.health.suspected
	}, 3*time.Second).Should(BeNumerically(">", 0), "the group of a silent stream is probed")
	for _, v := range l.views {
		if l.journal.all()[0].instance == string(v.ID) {
			l.gate.Watch.CutStalled(v.ID)
		}
	}
	a := <-result
	g.Expect(a.err).NotTo(HaveOccurred())
	g.Expect(a.body).To(HaveSuffix("id: 4\ndata: x4\n\n"))
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	l := newLab(t)
	l.gate.SetNodes(1000) // reduces this node's share of the slack to almost nothing
	l.instance("a", "plain", func(w http.ResponseWriter, _ *http.Request) { cut(w) })
	l.instance("b", "plain", func(w http.ResponseWriter, _ *http.Request) { cut(w) })
	for i := range 10 {
		l.call(http.MethodGet, "/safe/", "", map[string]string{"Id": fmt.Sprint("r", i)})
	}
	g.Expect(len(l.journal.all())).To(BeNumerically("<=", 12))
}
