package ctl_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/transport/ctl"
)

// Guards against an answer of a node on the platform that the tool does not show, or shows as empty.
func TestEvacuationsOfNode(t *testing.T) {
	body, status := `{"position":1099511627781,"age_ms":250,"halls":[{"hall":"hall-2","since_ms":1500,"last_resort_ms":1000}]}`, http.StatusOK
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/evacuations" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer srv.Close()
	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := ctl.Run(args, func(string) (string, bool) { return "", false }, &out, &out)
		return code, out.String()
	}
	g := NewWithT(t)
	code, out := run("evacuations", srv.Listener.Addr().String())
	g.Expect(code).To(Equal(ctl.ExitDone))
	g.Expect(out).To(And(MatchRegexp(`hall-2 +1.5s +1s`), ContainSubstring("1 evacuated, confirmed 250ms ago")))
	code, out = run("-o", "json", "evacuations", srv.Listener.Addr().String())
	g.Expect(code).To(Equal(ctl.ExitDone))
	g.Expect(out).To(MatchJSON(body))
	code, _ = run("evacuations")
	g.Expect(code).To(Equal(ctl.ExitUsage))
	code, _ = run("evacuations", "nowhere")
	g.Expect(code).To(Equal(ctl.ExitUsage))
	status = http.StatusInternalServerError
	code, _ = run("evacuations", srv.Listener.Addr().String())
	g.Expect(code).To(Equal(ctl.ExitUnreachable))
}
