package source_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/source"
)

// settle is how long after a restore records are written again.
const settle = 2 * time.Second

func TestPositionOrdersByEraThenOffset(t *testing.T) {
	g := NewWithT(t)
	g.Expect(source.Position(2, 3)).To(BeNumerically(">", source.Position(1, 1<<39)))
	g.Expect(source.Era(source.Position(7, 12))).To(BeEquivalentTo(7))
	g.Expect(source.Offset(source.Position(7, 12))).To(BeEquivalentTo(12))
}

func TestCursorTake(t *testing.T) {
	type response struct {
		after   time.Duration
		tail    source.Tail
		from    int64
		reading source.Reading
	}
	for _, c := range []struct {
		name      string
		responses []response
		next      int64
	}{
		{"first read", []response{{0, source.Tail{Era: 4, End: 7}, -1, source.All}}, 7},
		{"incremental read", []response{{0, source.Tail{Era: 4, End: 7}, -1, source.All}, {0, source.Tail{Era: 4, End: 9}, 7, source.Further}}, 9},
		{"store that reports no era", []response{{0, source.Tail{End: 7}, -1, source.All}, {0, source.Tail{End: 9}, 7, source.Further}}, 9},
		{"store restored and grown past the old offset", []response{
			{0, source.Tail{Era: 4, End: 7}, -1, source.All}, {0, source.Tail{Era: 5, End: 12}, 7, source.Stale}, {0, source.Tail{Era: 5, End: 12}, -1, source.Restored},
			{0, source.Tail{Era: 5, End: 13}, 12, source.Further},
		}, 13},
		{"delayed response from before the restore", []response{
			{0, source.Tail{Era: 4, End: 7}, -1, source.All}, {0, source.Tail{Era: 5}, 7, source.Stale}, {0, source.Tail{Era: 5, End: 6}, -1, source.Restored},
			{0, source.Tail{Era: 4, End: 9}, 6, source.Stale},
		}, 6},
		{"full read repeated once records have been written again", []response{
			{0, source.Tail{Era: 4, End: 7}, -1, source.All}, {0, source.Tail{Era: 5}, 7, source.Stale}, {0, source.Tail{Era: 5, End: 6}, -1, source.Restored},
			{settle, source.Tail{Era: 5, End: 9}, -1, source.All}, {0, source.Tail{Era: 5, End: 10}, 9, source.Further},
		}, 10},
		{"second restore before the settle time of the first has passed", []response{
			{0, source.Tail{Era: 4, End: 7}, -1, source.All}, {0, source.Tail{Era: 5}, 7, source.Stale}, {0, source.Tail{Era: 5, End: 6}, -1, source.Restored},
			{settle / 2, source.Tail{Era: 6, End: 8}, 6, source.Stale}, {0, source.Tail{Era: 6, End: 8}, -1, source.Restored},
			{settle / 2, source.Tail{Era: 6, End: 9}, 8, source.Further}, {settle / 2, source.Tail{Era: 6, End: 9}, -1, source.All},
		}, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			cursor := &source.Cursor{Settle: settle}
			now := time.Unix(1000, 0)
			for _, a := range c.responses {
				now = now.Add(a.after)
				g.Expect(cursor.From(now)).To(BeEquivalentTo(a.from))
				g.Expect(cursor.Take(a.from, a.tail, now)).To(Equal(a.reading))
			}
			g.Expect(cursor.From(now)).To(BeEquivalentTo(c.next))
		})
	}
}
