// Command troutmast-standin runs a stand-in of the platform or of a target, for tests and the demo.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/integrii/flaggy"

	"github.com/troutmast/troutmast/internal/standin"
	"github.com/troutmast/troutmast/protocol/platform"
	"github.com/troutmast/troutmast/state"
)

// options are the command-line settings of a stand-in.
type options struct {
	addr       string
	platform   string
	id         string
	hall       string
	domain     string
	service    bool
	fences     bool
	loadTime   time.Duration
	tokenDelay time.Duration
	slots      int
	crashOn    string
}

// crashExitCode is the exit code of a target that crashes on a request.
const crashExitCode = 3

// main runs the stand-in given on the command line.
func main() {
	o := options{addr: "127.0.0.1:8090", platform: "127.0.0.1:8090", hall: "hall-1", domain: "domain-1", loadTime: 200 * time.Millisecond, tokenDelay: 2 * time.Millisecond, slots: 16}
	plat := flaggy.NewSubcommand("platform")
	plat.Description = "serve the log and the instance list of the platform"
	plat.String(&o.addr, "", "addr", "ip:port to listen on")
	tgt := flaggy.NewSubcommand("target")
	tgt.Description = "run one target instance"
	tgt.String(&o.addr, "", "addr", "ip:port to listen on")
	tgt.String(&o.platform, "", "platform", "ip:port of the platform")
	tgt.String(&o.id, "", "id", "ID of the instance")
	tgt.String(&o.hall, "", "hall", "data hall")
	tgt.String(&o.domain, "", "domain", "fabric domain")
	tgt.Bool(&o.service, "", "service", "run as a plain service")
	tgt.Bool(&o.fences, "", "fences", "reject orders with an older epoch")
	tgt.Duration(&o.loadTime, "", "load-time", "time to load a model")
	tgt.Duration(&o.tokenDelay, "", "token-delay", "time between tokens")
	tgt.Int(&o.slots, "", "slots", "number of requests in a batch")
	tgt.String(&o.crashOn, "", "crash-on", "text in a completion request on which the process exits")
	flaggy.SetName("troutmast-standin")
	flaggy.AttachSubcommand(plat, 1)
	flaggy.AttachSubcommand(tgt, 1)
	flaggy.Parse()
	var h http.Handler
	switch {
	case plat.Used:
		h = standin.NewPlatform().Handler()
	case tgt.Used:
		h = o.startTarget()
	default:
		flaggy.ShowHelpAndExit("missing subcommand: platform or target")
	}
	s := &http.Server{Addr: o.addr, Handler: h, ReadHeaderTimeout: 10 * time.Second}
	if err := s.ListenAndServe(); err != nil {
		log.WithError(err).Error("HTTP server of the stand-in failed")
		os.Exit(1)
	}
}

// startTarget starts to register the target and returns its HTTP handler.
func (o *options) startTarget() http.Handler {
	addr, err := netip.ParseAddrPort(o.addr)
	if err != nil {
		flaggy.ShowHelpAndExit(fmt.Sprintf("--addr: %v", err))
	}
	go o.register(addr)
	return standin.NewTarget(standin.TargetConfig{
		ID:           state.InstanceID(o.id),
		Service:      o.service,
		ChecksFences: o.fences,
		LoadTime:     o.loadTime,
		TokenDelay:   o.tokenDelay,
		Slots:        o.slots,
		CrashOn:      o.crashOn,
		Crash:        func() { os.Exit(crashExitCode) },
	}).Handler()
}

// register adds the target to the platform's list. It retries until a request gets a response.
func (o *options) register(addr netip.AddrPort) {
	entry := platform.Instance{ID: state.InstanceID(o.id), Hall: state.HallName(o.hall), Domain: o.domain, Address: addr, ChecksFences: o.fences}
	data, err := json.Marshal(entry)
	if err != nil {
		log.WithError(err).Error("cannot register the target with the platform")
		return
	}
	for {
		req, err := http.NewRequest(http.MethodPut, "http://"+o.platform+"/v1/instances/"+o.id, bytes.NewReader(data))
		if err != nil {
			log.WithError(err).Error("cannot register the target with the platform")
			return
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
