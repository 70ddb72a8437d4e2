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
)

// Timing of a graceful shutdown.
const (
	// leaveTime is how long new connections may still arrive after the node is no longer ready.
	leaveTime = 2900 * time.Millisecond
	// stopMargin is the part of Settings.StopWithin that is reserved for the end of the shutdown.
	stopMargin = 400 * time.Millisecond
)

// Reload applies changed settings. The name and the addresses can change only with a restart: if
// one of them differs, Reload returns ErrNeedsRestart and applies nothing.
func (n *Node) Reload(set *Settings) error {
	if set.Name != n.set.Name || set.Callers != n.set.Callers || set.Ready != n.set.Ready || set.Peer != n.set.Peer || set.Store != n.set.Store {
		return ErrNeedsRestart
	}
	n.know.SetBound(set.StrictKeys, set.KeysWithin)
	n.gate.SetRetryBounds(set.Retry)
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
		n.rewrite,
		n.rebuild,
		n.watchBeliefs,
		n.peers.run,
		n.peers.follow,
		n.placer.run,
		n.watchHealth,
		n.keepQuarantine,
		n.every(time.Second, func(context.Context) { n.pool.Sweep() }),
	}
}

// listener is an HTTP server of the node and its network listener.
type listener struct {
	srv *http.Server
	ln  net.Listener
}

// listen opens all listeners and starts their servers. The server for callers is the first.
func (n *Node) listen() ([]*http.Server, error) {
	peerMux := http.NewServeMux()
	peerMux.Handle(wordProcedure, connect.NewUnaryHandler(wordProcedure, n.peers.answer, connect.WithCodec(peer.JSONCodec{})))
	peerMux.Handle(reachProcedure, connect.NewUnaryHandler(reachProcedure, n.peers.reach, connect.WithCodec(peer.JSONCodec{})))
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("/", n.serveReady)
	operatorMux := http.NewServeMux()
	n.handleOperators(operatorMux)
	endpoints := []struct {
		at string
		h  http.Handler
	}{
		{n.set.Callers.String(), n.gate},
		{n.set.Ready.String(), readyMux},
		{n.set.Peer.String(), peerMux},
		{n.set.Metrics.String(), operatorMux},
	}
	var listeners []*listener
	for _, p := range endpoints {
		ln, err := net.Listen("tcp4", p.at)
		if err != nil {
			return nil, fmt.Errorf("entry: listen on %s: %w", p.at, err)
		}
		srv := &http.Server{Handler: p.h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, ErrorLog: nil}
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
func (n *Node) isReady() bool { return !n.stopping.Load() && n.know.Catalog() != nil }

// handleOperators registers the handlers for operators.
func (n *Node) handleOperators(mux *http.ServeMux) {
	mux.HandleFunc("/metrics", n.serveMetrics)
	mux.HandleFunc("GET /quarantine", n.serveQuarantine)
	mux.HandleFunc("GET /cooldowns", n.serveCooldowns)
	mux.HandleFunc("GET /limits", n.serveLimits)
	mux.HandleFunc("DELETE /quarantine/{fingerprint}", n.serveRelease)
}

// serveMetrics writes all metrics.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) { metrics.WriteOnce(n.metrics, w) }

// stop shuts the node down gracefully. The node first reports that it is not ready but still accepts
// requests. It then refuses new requests and waits for those in flight.
func (n *Node) stop(servers []*http.Server) {
	began := n.clock.Now()
	n.log.Info("stopping")
	n.stopping.Store(true)
	n.gate.CloseConnections()
	n.clock.Sleep(min(leaveTime, n.set.StopWithin/2))
	n.gate.RefuseNew()
	ctx, cancel := context.WithTimeout(context.Background(), n.set.StopWithin-stopMargin-n.clock.Since(began))
	defer cancel()
	if err := servers[0].Shutdown(ctx); err != nil {
		n.log.WithError(err).WithField("held", n.gate.StallDetector.ActiveCount()).Warn("requests interrupted by shutdown")
	}
}
