package placement_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	if os.Getenv("SEED") == "" {
		t.Skip()
	}
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	d, _ := strconv.Atoi(os.Getenv("DOM"))
	n, _ := strconv.Atoi(os.Getenv("TGT"))
	w := newWorld(seed, d, n, 3)
	w.trace = func(s string) { fmt.Println(s) }
	w.place(w.nodes[0], true)
	w.run(40 * time.Second)
	fmt.Println(w.broken)
}
func TestDebug2(t *testing.T) {
	w := newWorld(9709594, 2, 4, 3)
	w.place(w.nodes[0], true)
	for i := 0; i < 300; i++ {
		w.run(20 * time.Millisecond)
		if i > 44 && i < 54 {
			for _, n := range w.nodes {
				if n.placing {
					for _, m := range n.roster.Members("lm", n.since, w.now) {
						if m.ID == "i006" || m.ID == "i005" {
							fmt.Println(w.now.Sub(time.Unix(1000, 0)), n.number, n.cut, w.now.Before(n.frozen), m.ID, m.Membership, m.Orders, m.Counted, m.Known, m.Lost, m.Pending)
						}
					}
				}
			}
		}
	}
}
