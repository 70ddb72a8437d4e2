package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/troutmast/troutmast/state"
)

// errStatus means that a node answered with a status other than 200.
var errStatus = errors.New("unexpected status")

// evacuations is what a node on the platform answers at /evacuations.
type evacuations struct {
	Position int64 `json:"position"`
	AgeMS    int64 `json:"age_ms"`
	Halls    []struct {
		Hall         state.HallName `json:"hall"`
		SinceMS      int64          `json:"since_ms"`
		LastResortMS int64          `json:"last_resort_ms"`
	} `json:"halls"`
}

// showEvacuations prints the evacuated halls that a node on the platform knows, given its metrics address.
func (t *tool) showEvacuations(args []string) int {
	if len(args) != 1 {
		return t.usage("evacuations METRICS-ADDRESS")
	}
	at, err := netip.ParseAddrPort(args[0])
	if err != nil {
		_, _ = fmt.Fprintln(t.err, err)
		return ExitUsage
	}
	list, err := readEvacuations(at)
	if err != nil {
		_, _ = fmt.Fprintln(t.err, err)
		return ExitUnreachable
	}
	if t.output == "json" {
		_ = json.NewEncoder(t.out).Encode(list)
		return ExitDone
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "hall\tsince\tlast-resort-for")
	for _, e := range list.Halls {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", e.Hall, milliseconds(e.SinceMS), milliseconds(e.LastResortMS))
	}
	_ = w.Flush()
	_, _ = fmt.Fprintf(t.out, "%d evacuated, confirmed %s ago, position %d\n", len(list.Halls), milliseconds(list.AgeMS), list.Position)
	return ExitDone
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// readEvacuations asks a node for its evacuated halls.
func readEvacuations(at netip.AddrPort) (*evacuations, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.String()+"/evacuations", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	list := &evacuations{}
	if err := json.NewDecoder(resp.Body).Decode(list); err != nil {
		return nil, fmt.Errorf("evacuations of %s: %w", at, err)
	}
	return list, nil
}
