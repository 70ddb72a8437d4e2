package placement_test
import ("testing";"fmt";"os";"strconv";"time")
func TestDebug(t *testing.T) {
	if os.Getenv("SEED")=="" { t.Skip() }
	seed,_ := strconv.ParseUint(os.Getenv("SEED"),10,64)
	d,_ := strconv.Atoi(os.Getenv("DOM")); n,_ := strconv.Atoi(os.Getenv("TGT"))
	w := newWorld(seed,d,n,3)
	w.trace = func(s string){ fmt.Println(s) }
	w.place(w.nodes[0], true)
	w.run(40*time.Second)
	fmt.Println(w.broken)
}
