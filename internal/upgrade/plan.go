package upgrade

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Mode is which way the nodes of a run are replaced.
type Mode string

// The modes.
const (
	// Forward replaces all nodes by the newer build.
	Forward Mode = "forward"
	// HalfAndBack replaces half of them, and goes back.
	HalfAndBack Mode = "half-and-back"
	// ThereAndBack replaces all, and goes back.
	ThereAndBack Mode = "there-and-back"
)

// Modes are all modes.
var Modes = []Mode{Forward, HalfAndBack, ThereAndBack}

// trouble is something that happens beside an upgrade.
type trouble string

// The troubles.
const (
	crashWorker  trouble = "a worker crashes"
	storeOutage  trouble = "the store is down"
	storeCut     trouble = "a node is cut off from the store"
	storeRestore trouble = "the store comes back from an older copy"
	killNode     trouble = "a node is killed"
	freezeNode   trouble = "a node freezes"
	shedding     trouble = "a worker sheds and asks for rest"
	leaving      trouble = "a worker leaves"
	limiting     trouble = "workers name a limit"
	deadly       trouble = "a request ends the workers that run it"
	reconfigure  trouble = "the configuration changes"
	evacuating   trouble = "a hall is evacuated"
	pausing      trouble = "workers pause"
	replaceModel trouble = "a model is replaced"
)

// The troubles of connections: of all callers to a worker, and of a node to the store.
const (
	resetLink   trouble = "the connections to a worker are reset"
	silentLink  trouble = "the open connections to a worker go silent for good"
	slowLink    trouble = "the connections to a worker are slow"
	oneWayLink  trouble = "the connections to a worker are cut one way"
	resetStore  trouble = "the connections of a node to the store are reset"
	silentStore trouble = "the open connections of a node to the store go silent for good"
	oneWayStore trouble = "the connections of a node to the store are cut one way"
)

// workerLinks and storeLinks are these troubles.
var (
	workerLinks = []trouble{resetLink, silentLink, slowLink, oneWayLink}
	storeLinks  = []trouble{resetStore, silentStore, oneWayStore}
)

// kinds returns the troubles that may happen in a run. Builds that know no eras of the store are
// spared older copies.
func (o *Options) kinds() []trouble {
	kinds := []trouble{crashWorker, crashWorker, storeOutage, storeCut, killNode, freezeNode, shedding, leaving, limiting, limiting, deadly, reconfigure}
	if o.From.Eras && o.To.Eras {
		kinds = append(kinds, storeRestore)
	}
	if o.Soak {
		kinds = slices.Concat(kinds, workerLinks, workerLinks, storeLinks)
	}
	return kinds
}

// planned is a trouble with its time since the nodes were ready.
type planned struct {
	at   time.Duration
	what trouble
}

// plan is what happens in a run.
type plan struct {
	mode     Mode
	troubles []planned
	// pauses are waited after each replacement, halfway after half of them.
	pauses  []time.Duration
	halfway time.Duration
}

// Times of plans.
const (
	firstTrouble = 2 * time.Second
	lastTrouble  = 24 * time.Second
	leastGap     = 1500 * time.Millisecond
	// halfwayLeast is long enough to judge how nodes of both builds keep to a limit.
	halfwayLeast = 8 * time.Second
)

// newPlan draws a plan with troubles of some kinds.
func newPlan(seed uint64, mode Mode, nodes int, kinds []trouble) plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := plan{mode: mode, halfway: halfwayLeast + time.Duration(rng.IntN(2000))*time.Millisecond}
	for range 2 * nodes {
		p.pauses = append(p.pauses, time.Duration(200+rng.IntN(1200))*time.Millisecond)
	}
	for at := firstTrouble; at < lastTrouble; at += leastGap + time.Duration(rng.IntN(2500))*time.Millisecond {
		p.troubles = append(p.troubles, planned{at, kinds[rng.IntN(len(kinds))]})
	}
	return p
}
