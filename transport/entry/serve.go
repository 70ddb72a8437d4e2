package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/troutmast/troutmast/protocol/peer"
	"github.com/troutmast/troutmast/transport/schedule"
)

// Timing of a graceful shutdown.
const (
	// unreadyPeriod is how long new connections may still arrive after the node is no longer ready.
	unreadyPeriod = 2900 * time.Millisecond
	// endPeriod is the time to answer the callers whose requests are ended by the stop. stopMargin is the part of
	// Settings.StopTimeout that is reserved for the end of the shutdown after it.
	endPeriod  = 200 * time.Millisecond
	stopMargin = 400 * time.Millisecond
)

// Reload applies changed settings. The name and the addresses can change only with a restart: if
// one of them differs, Reload returns ErrNeedsRestart and applies nothing.
func (n *Node) Reload(set *Settings) error {
	if set.Name != n.settings.Name || set.CallerAddress != n.settings.CallerAddress || set.ReadyAddress != n.settings.ReadyAddress || set.PeerAddress != n.settings.PeerAddress || set.StoreAddress != n.settings.StoreAddress {
		return ErrNeedsRestart
	}
	n.configState.SetMaxKeyAge(set.StrictKeys, set.MaxKeyAge)
	n.gateway.SetRetryBounds(set.Retry)
	n.regions.Store(&set.Regions)
	n.log.Info("settings reloaded")
	return nil
}

// ErrNeedsRestart is returned by Reload for settings that take effect only after a restart.
var ErrNeedsRestart = errors.New("entry: changed name or address requires a restart")

// loops returns the background loops that run until the node stops.
func (n *Node) loops() []func(context.Context) {
	return []func(context.Context){
		n.followConfig,
		n.followInstances,
		n.register,
		n.rewriteEntries,
		n.rebuildCandidates,
		n.logStateChanges,
		n.peers.run,
		n.peers.followNodes,
		n.placement.run,
		n.schedules.run,
		n.watchHealth,
		n.persistQuarantine,
		n.every(hallLogInterval, n.logHalls),
		n.every(time.Second, func(context.Context) {
			n.pool.CloseExpired()
			n.peerPool.CloseExpired()
		}),
		n.every(recordEraInterval, n.recordSettledEra),
	}
}

// listener is an HTTP server of the node and its network listener.
type listener struct {
	srv *http.Server
	ln  net.Listener
}

// minCompressedAnswer is the size in bytes from which answers to status reports are compressed. Smaller ones hold
// little besides parts that are packed already, and compressing each costs a leader more than all else in it.
const minCompressedAnswer = 8 << 10

// statusHandlerOptions returns the options of the handler of status reports.
func statusHandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithCodec(peer.JSONCodec{}), connect.WithCompressMinBytes(minCompressedAnswer), connect.WithReadMaxBytes(maxMessageBytes)}
}

// listen opens all listeners and starts their servers. The server for callers is the first.
func (n *Node) listen() ([]*http.Server, error) {
	peerMux := http.NewServeMux()
	peerMux.Handle(statusReportProcedure, connect.NewUnaryHandler(statusReportProcedure, n.peers.handleStatusReport, statusHandlerOptions()...))
	peerMux.Handle(indirectProbeProcedure, connect.NewUnaryHandler(indirectProbeProcedure, n.peers.handleIndirectProbe, statusHandlerOptions()...))
	peerMux.Handle(schedule.Procedure, schedule.NewHandler(n.schedules))
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("/", n.serveReady)
	operatorMux := http.NewServeMux()
	n.registerOperatorHandlers(operatorMux)
	endpoints := []struct {
		at string
		h  http.Handler
		// servesCallers reports whether responses to callers pass this listener.
		servesCallers bool
	}{
		{n.settings.CallerAddress.String(), n.gateway, true},
		{n.settings.ReadyAddress.String(), readyMux, false},
		{n.settings.PeerAddress.String(), n.servePeer(peerMux), true},
		{n.settings.MetricsAddress.String(), operatorMux, false},
	}
	var listeners []*listener
	for _, p := range endpoints {
		ln, err := net.Listen("tcp4", p.at)
		if err != nil {
			return nil, fmt.Errorf("entry: listen on %s: %w", p.at, err)
		}
		if p.servesCallers {
			ln = n.gateway.WrapListener(ln)
		}
		srv := &http.Server{Handler: p.h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: nil, ConnContext: n.gateway.ConnContext}
		listeners = append(listeners, &listener{srv: srv, ln: ln})
	}
	var servers []*http.Server
	for _, l := range listeners {
		servers = append(servers, l.srv)
		go func() {
			if err := l.srv.Serve(l.ln); !errors.Is(err, http.ErrServerClosed) {
				n.log.WithError(err).Error("listener stopped unexpectedly")
			}
		}()
	}
	return servers, nil
}

// serveReady serves the readiness probe: status 200 if the node accepts new connections, else 503.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether the node can answer callers.
func (n *Node) isReady() bool {
	return !n.stopping.Load() && (servingCatalogs{n.configState, n}).Catalog() != nil
}

// forwardedPollInterval is the time between two checks whether the requests of other nodes have ended.
const forwardedPollInterval = 20 * time.Millisecond

// waitForForwarded waits until the node serves no request for another one.
func (n *Node) waitForForwarded(ctx context.Context) error {
	for n.forwarded.InFlight() > 0 {
		if !n.sleep(ctx, forwardedPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func (n *Node) registerOperatorHandlers(mux *http.ServeMux) {
	mux.HandleFunc("/metrics", n.serveMetrics)
	mux.HandleFunc("GET /quarantine", n.serveQuarantine)
	mux.HandleFunc("GET /cooldowns", n.serveCooldowns)
	mux.HandleFunc("GET /limits", n.serveLimits)
	mux.HandleFunc("GET /evacuations", n.serveEvacuations)
	mux.HandleFunc("DELETE /quarantine/{fingerprint}", n.serveRelease)
}

// serveMetrics writes all metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.metrics, w) }

// stop shuts the node down gracefully. The node first reports that it is not ready but still accepts
// requests. It then refuses new requests and waits for those in flight. The callers of those that are still in flight at the
// end get an answer.
func (n *Node) stop(servers []*http.Server) {
	began := n.clock.Now()
	n.log.Info("stopping")
	n.stopping.Store(true)
	n.requestStatusReport() // the leader stops naming this node as a peer
	unready := min(unreadyPeriod, n.settings.StopTimeout/2)
	refusesAt, endsAt := began.Add(unready), began.Add(max(n.settings.StopTimeout-stopMargin-endPeriod, unready))
	n.gateway.BeginStop(refusesAt, endsAt)
	n.clock.Sleep(refusesAt.Sub(n.clock.Now()))
	n.gateway.RefuseNew()
	end := n.clock.AfterFunc(endsAt.Sub(n.clock.Now()), func() {
		if held := n.gateway.StallDetector.ActiveCount(); held > 0 {
			n.log.WithField("held", held).Warn("requests ended by the stop")
		}
		n.gateway.EndRequests()
	})
	defer end.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), endsAt.Add(endPeriod).Sub(n.clock.Now()))
	defer cancel()
	if err := errors.Join(servers[0].Shutdown(ctx), n.waitForForwarded(ctx)); err != nil {
		n.log.WithError(err).WithField("held", n.gateway.StallDetector.ActiveCount()).Warn("requests interrupted by shutdown")
	}
}
