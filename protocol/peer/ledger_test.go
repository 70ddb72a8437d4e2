package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/quarantine"
	"github.com/troutmast/troutmast/protocol/rpc"
	"github.com/troutmast/troutmast/state/fleet"
)

// Older builds take every fingerprint in the fields that they know for one of a request.
func TestPartsOfPromptsAreSentApartFromRequests(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	f := quarantine.NewFingerprint(quarantine.Content{Body: []byte("request")})
	part := quarantine.NewPartFingerprints([]string{"part", "own"})[0]
	d := quarantine.Delta{
		Endings: []quarantine.Ending{{Instance: fleet.Incarnation{ID: "i", Life: "1"}, By: 3, At: now.Add(-time.Second), Requests: []quarantine.Fingerprint{part, f}}},
		Cleared: []quarantine.Clearing{{Request: part, By: 3, Number: 1, At: now.Add(-time.Second)}, {Request: f, By: 3, Number: 2, At: now.Add(-time.Second)}},
	}
	var m rpc.ExchangeResponse
	EncodeLedgerDelta(&m, d, 7, now)
	g.Expect(m.GetEndings()[0].GetRequests()).To(Equal([][]byte{f[:]}))
	g.Expect(m.GetCleared()).To(HaveLen(1))
	g.Expect(m.GetCleared()[0].GetRequest()).To(Equal(f[:]))

	decoded := DecodeLedgerDelta(&m, now)
	g.Expect(decoded.Endings[0].Requests).To(ConsistOf(f, part))
	g.Expect(decoded.Cleared).To(ConsistOf(d.Cleared[0], d.Cleared[1]))
}
