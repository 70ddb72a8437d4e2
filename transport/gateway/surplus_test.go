package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/internal/surplus"
	"github.com/troutmast/troutmast/state"
)

// addRestartedInstance adds an instance that was started at the address of one that is still listed. It refuses the requests for
// the other one, and sends each refusal a second time when the next request arrives on the connection.
func (h *harness) addRestartedInstance(id string, service state.ServiceName) {
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.Header.Get("For") != id {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, _ := io.ReadAll(r.Body)
		h.runLog.add(run{instance: id, id: r.Header.Get("Id"), body: string(body)})
		w.Header().Set("Seal", "seal-of-"+id)
		if service == "lm" {
			writeEvents(w, 1, 3)
			return
		}
		_, _ = io.WriteString(w, "done")
	}))
	srv.Listener = surplus.NewListener(srv.Listener, surplus.Refusals)
	srv.Start()
	h.t.Cleanup(srv.Close)
	address := netip.MustParseAddrPort(srv.Listener.Addr().String())
	h.addInstanceAt("before "+id, service, address)
	h.addInstanceAt(id, service, address)
}

// Guards against a second run: the late copy of a refusal was taken for the answer to the next send of the request.
func TestRefusedRequestRunsOnceBesideCopiesOfRefusals(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/once/x", "/safe/x", "/stream/x"} {
		for _, isForwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, forwarded %t", path, isForwarded), func(t *testing.T) {
				g := NewWithT(t)
				refusals := 0
				for i := range 10 {
					h, serving := newHarnesses(t, isForwarded)
					for _, id := range []string{"a", "b"} {
						serving.addRestartedInstance("plain "+id, "plain")
						serving.addRestartedInstance("lm "+id, "lm")
					}
					got := h.call(http.MethodPost, path, "x", map[string]string{"Id": fmt.Sprint("r", i)})
					g.Expect(got.err).NotTo(HaveOccurred())
					g.Expect(got.status).To(Equal(http.StatusOK))
					g.Expect(serving.runLog.all()).To(HaveLen(1), "runs of one request")
					refusals += serving.recorder.count("attempt.not-run")
				}
				g.Expect(refusals).To(BeNumerically(">", 0), "no request was refused")
			})
		}
	}
}
