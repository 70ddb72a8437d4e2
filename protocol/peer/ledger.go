package peer

import (
	"slices"
	"time"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// EncodeLedgerDelta adds the changes of a quarantine ledger to a response. It sends ages
// instead of times, since the clocks of two nodes may differ.
func EncodeLedgerDelta(m *rpc.ExchangeResponse, d quarantine.Delta, version uint64, now time.Time) {
	m.LedgerVersion = version
	for _, e := range d.Endings {
		ending := &rpc.Ending{Instance: string(e.Instance.ID), Incarnation: e.Instance.Life, By: int64(e.By), AgeMs: CeilMilliseconds(now.Sub(e.At)), Back: e.Back, Episode: uint32(max(e.Episode, 0))}
		requests, parts := quarantine.SplitParts(e.Requests)
		ending.Requests, ending.Parts, ending.Apart = encodeFingerprints(requests), encodeFingerprints(parts), encodeFingerprints(e.Apart)
		m.Endings = append(m.Endings, ending)
	}
	for _, c := range d.Cleared {
		cleared := &rpc.Cleared{Request: c.Request[:], AgeMs: CeilMilliseconds(now.Sub(c.At)), By: int64(c.By), Number: c.Number}
		if c.Request.IsPart() {
			m.ClearedParts = append(m.ClearedParts, cleared)
			continue
		}
		m.Cleared = append(m.Cleared, cleared)
	}
}

// DecodeLedgerDelta returns the changes of a quarantine ledger in a response, with
// times by the clock of the receiving node. It skips fingerprints of the wrong size.
func DecodeLedgerDelta(m *rpc.ExchangeResponse, now time.Time) quarantine.Delta {
	var d quarantine.Delta
	for _, e := range m.GetEndings() {
		incarnation := fleet.Incarnation{ID: state.InstanceID(e.GetInstance()), Life: e.GetIncarnation()}
		ending := quarantine.Ending{Instance: incarnation, Episode: int(e.GetEpisode()), By: quarantine.Source(e.GetBy()), At: now.Add(-FromMilliseconds(e.GetAgeMs())), Back: e.GetBack()}
		ending.Requests, ending.Apart = decodeFingerprints(slices.Concat(e.GetRequests(), e.GetParts())), decodeFingerprints(e.GetApart())
		d.Endings = append(d.Endings, ending)
	}
	for _, c := range slices.Concat(m.GetCleared(), m.GetClearedParts()) {
		if f, ok := quarantine.ParseFingerprint(c.GetRequest()); ok {
			d.Cleared = append(d.Cleared, quarantine.Clearing{
				Request: f, By: quarantine.Source(c.GetBy()), Number: c.GetNumber(), At: now.Add(-FromMilliseconds(c.GetAgeMs())),
			})
		}
	}
	return d
}

// encodeFingerprints returns fingerprints as bytes.
func encodeFingerprints(list []quarantine.Fingerprint) [][]byte {
	var out [][]byte
	for _, f := range list {
		out = append(out, f[:])
	}
	return out
}

// decodeFingerprints decodes fingerprints and skips those of the wrong size.
func decodeFingerprints(list [][]byte) []quarantine.Fingerprint {
	var out []quarantine.Fingerprint
	for _, raw := range list {
		if f, ok := quarantine.ParseFingerprint(raw); ok {
			out = append(out, f)
		}
	}
	return out
}
