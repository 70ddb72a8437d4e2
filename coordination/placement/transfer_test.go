package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/placement"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
	"github.com/troutmast/troutmast/state/fleet"
)

// twelveAndSix returns an engine with groups of 12 and 6.
func twelveAndSix() *catalog.Engine {
	return &catalog.Engine{
		BatchSlots: 48, MaxLoadsPerSecond: 14, MaxConcurrentLoads: 20, MaxReportAge: reportLag, FormTime: openTime,
		Models: []catalog.Model{
			{Name: "large", GroupSize: 12, ExpectedShare: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, HostLoadTime: 1600 * time.Millisecond},
			{Name: "small", GroupSize: 6, ExpectedShare: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, HostLoadTime: 1100 * time.Millisecond},
		},
	}
}

// hostState is the last model of instances and the model that their hosts keep, for a number of instances of each domain.
type hostState struct {
	count         int
	model, staged string
}

// newHostSimulation returns a simulation of six domains of 27 instances whose hosts keep one model.
func newHostSimulation(demand []float64, hosts ...hostState) *simulation {
	sim := newSimulation(1, 6, 27, 1)
	sim.engine, sim.faultsEnabled, sim.singleModelHosts = twelveAndSix(), false, true
	sim.demand = demand
	for i, id := range slices.Sorted(maps.Keys(sim.targets)) {
		rank := i % 27
		for _, h := range hosts {
			if rank < h.count && h.staged != "" {
				sim.targets[id].Model, sim.targets[id].Staged = h.model, []string{h.staged}
			}
			if rank < h.count {
				break
			}
			rank -= h.count
		}
		sim.recordChange(sim.targets[id])
	}
	sim.setLeading(sim.nodes[0], true)
	return sim
}

// instancesServing returns the number of instances in open groups of a model.
func (sim *simulation) instancesServing(model string) int {
	n := 0
	for _, t := range sim.targets {
		if !t.dead && t.Membership.State == fleet.Open && t.Model == model {
			n += len(t.members)
		}
	}
	return n
}

// Guards against a model that is never served: a spare that has the plentiful model, and is not worth a further group of it, counted as a
// transfer that was already prepared, and a domain prepares one at a time.
func TestSpareOfPlentifulModelBlocksNoTransfer(t *testing.T) {
	g := NewWithT(t)
	p := placement.NewPlanner(withModels(modelOf("scarce", 2), modelOf("plentiful", 1)), placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	members := func() []placement.Member {
		list := freeInstances("d", 7, "plentiful", "plentiful")
		for i := range list[:6] {
			list[i].Loaded = "plentiful"
			list[i].Membership = fleet.Membership{Group: state.GroupName(fmt.Sprintf("g%d-1", i)), Epoch: state.Epoch(i+1) << 20, State: fleet.Open}
		}
		return list
	}
	var staged []string
	for second := range 15 {
		for _, o := range p.Step(testStart.Add(time.Duration(second)*time.Second), members()).Orders {
			g.Expect(o.Action).To(Equal(placement.Stage), "%+v", o)
			staged = append(staged, o.Model)
		}
	}
	g.Expect(staged).To(ContainElements("scarce", "scarce"))
}

// Guards against a model that is never served beside two others: the groups with the most members that had it staged were taken for
// its donors, although their model was nearly as scarce, and the plentiful third one was left alone.
func TestDonorsAreOfTheLeastScarceModel(t *testing.T) {
	g := NewWithT(t)
	e := withModels(modelOf("plentiful", 1), modelOf("scarce", 3), modelOf("other", 3))
	p := placement.NewPlanner(e, placement.DefaultPolicy(), placement.NewEpochGenerator(0, 1).Next)
	members := func() []placement.Member {
		list := append(freeInstances("d", 6, "plentiful", "plentiful"), freeInstances("d", 9, "other", "scarce")[6:]...)
		list[5].Model, list[5].Staged, list[6].Staged = "", []string{"other"}, []string{"plentiful"}
		for i := range list {
			if i == 5 {
				continue
			}
			group, rank, epoch := fmt.Sprintf("g%d-1", i), 0, state.Epoch(i+1)<<20
			if i >= 6 {
				group, rank, epoch = "g9-3", i-6, 9<<20
			}
			list[i].Loaded = list[i].Model
			list[i].Membership = fleet.Membership{Group: state.GroupName(group), Epoch: epoch, Rank: rank, State: fleet.Ready}
			if rank == 0 {
				list[i].Membership.State = fleet.Open
			}
		}
		return list
	}
	staged := map[state.InstanceID]string{}
	for second := range 5 {
		for _, o := range p.Step(testStart.Add(time.Duration(second)*time.Second), members()).Orders {
			g.Expect(o.Action).To(Equal(placement.Stage), "%+v", o)
			staged[o.Instance] = o.Model
		}
	}
	g.Expect(staged).To(HaveLen(3))
	for id, model := range staged {
		g.Expect(model).To(Equal("scarce"))
		g.Expect(id < "d-f06").To(BeTrue(), "%s is in the group of the other model", id)
	}
}

// Guards against a model that starves beside another one's plenty. After losses, 24 instances served the large model
// and 120 the small one where 70 and 103 were desired, and nothing changed that: no domain had enough instances with
// the scarce model loaded or on their hosts for a group, and only free instances staged it.
func TestScarceModelGetsInstancesOfPlentifulOne(t *testing.T) {
	const desiredLarge, desiredSmall = 112, 550 // slots that make 70 and 103 instances desired
	for _, c := range []struct {
		name   string
		demand []float64
		hosts  []hostState
		// large and small are the least numbers of instances that must serve each model in the end.
		large, small int
	}{
		{"no instance has the large model", []float64{desiredLarge, desiredSmall}, []hostState{{27, "small", "small"}}, 48, 72},
		{"hosts keep the small model, few serve the large one", []float64{desiredLarge, desiredSmall},
			[]hostState{{4, "large", "small"}, {23, "small", "small"}}, 48, 72},
		{"ten of each domain wait for two more", []float64{desiredLarge, desiredSmall},
			[]hostState{{10, "large", "large"}, {17, "small", "small"}}, 48, 72},
		{"no instance has the small model", []float64{desiredLarge, desiredSmall}, []hostState{{27, "large", "large"}}, 48, 72},
		{"free instances have no model", []float64{desiredLarge, desiredSmall}, []hostState{{12, "small", "small"}, {15, "", ""}}, 48, 72},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newHostSimulation(c.demand, c.hosts...)
			sim.run(60 * time.Second)
			g.Expect(sim.violations).To(BeEmpty())
			t.Logf("%d large, %d small", sim.instancesServing("large"), sim.instancesServing("small"))
			g.Expect(sim.instancesServing("large")).To(BeNumerically(">=", c.large))
			g.Expect(sim.instancesServing("small")).To(BeNumerically(">=", c.small))
		})
	}
}

// drawnMix returns a simulation with drawn sizes of groups and domains, a drawn demand and hosts that keep a drawn
// model, and the number of instances desired for each model.
func drawnMix(seed uint64) (sim *simulation, desired []float64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	small := 2 + rng.IntN(5)
	large := small + 1 + rng.IntN(10)
	perDomain := large + rng.IntN(2*large)
	sim = newSimulation(seed, 2+rng.IntN(3), perDomain, 1)
	sim.engine, sim.faultsEnabled, sim.singleModelHosts = twelveAndSix(), false, true
	sizes := []int{large, small}
	all := float64(len(sim.targets))
	share := 0.25 + rng.Float64()/2
	desired = []float64{max(share*all, float64(large)), max((1-share)*all, float64(small))}
	for i := range sim.engine.Models {
		m := &sim.engine.Models[i]
		m.GroupSize = sizes[i]
		slotsPerInstance := float64(sim.engine.BatchSlots) / (float64(m.GroupSize) * m.TimeFactor)
		sim.demand = append(sim.demand, desired[i]*slotsPerInstance/placement.DefaultPolicy().Concavity)
	}
	for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
		model := sim.engine.Models[rng.IntN(2)].Name
		sim.targets[id].Model, sim.targets[id].Staged = model, []string{model}
		sim.recordChange(sim.targets[id])
	}
	sim.setLeading(sim.nodes[0], true)
	return sim, desired
}

// No model stays below half of its desired instances while another one has more than it wants, for longer than a
// few loads take, whatever the sizes, the demand and the models on the hosts.
func TestNoModelStarvesBesidePlenty(t *testing.T) {
	for seed := range uint64(24) {
		sim, desired := drawnMix(seed)
		sim.run(75 * time.Second)
		g := NewWithT(t)
		g.Expect(sim.violations).To(BeEmpty(), "seed %d", seed)
		for i, m := range sim.engine.Models {
			other := 1 - i
			short := float64(sim.instancesServing(m.Name)+m.GroupSize) <= desired[i]/2
			plenty := float64(sim.instancesServing(sim.engine.Models[other].Name)) > desired[other]
			g.Expect(short && plenty).To(BeFalse(), "seed %d: %d instances in groups of %d serve %s, desired are %v of %d", seed,
				sim.instancesServing(m.Name), m.GroupSize, m.Name, desired, len(sim.targets))
		}
	}
}
