package entry

import (
	"maps"
	"time"

	"github.com/apex/log"

	"github.com/troutmast/troutmast/coordination/evacuation"
	"github.com/troutmast/troutmast/coordination/ratelimit"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// Protocol versions of the status reports between nodes. Builds that name none have version 0.
//
// Nodes of different builds run side by side during an upgrade or a rollback. Messages and
// records in the store only gain fields, which builds that do not know them ignore. What a build
// sends depends on the receiver only where a later form takes the place of an earlier one. The version
// states what a node implements.
const (
	// protocolRateLimits is the first version whose nodes send requests to rate-limited instances by grants.
	protocolRateLimits = 1
	// protocolPacked is the first version whose nodes read the packed parts of a leader's answers.
	protocolPacked = 2
	// protocolForwarding is the first version whose nodes serve requests that other nodes forward.
	protocolForwarding = 3
	// protocolEvacuation is the first version whose nodes send no requests into evacuated halls and relay the set of them.
	protocolEvacuation = 4
	// protocolColdInstances is the first version whose nodes send requests to cold instances by grants, and relay cold
	// times.
	protocolColdInstances = 4
	// protocolHomeRegions is the first version whose nodes enforce the home regions of requests that other nodes forward.
	protocolHomeRegions = 4
	// protocolVersion is the protocol version of this build.
	protocolVersion = protocolHomeRegions
)

// versionBonus is added per protocol version to the capacity that a node reports, in cores. It is
// far below the differences between node sizes. All builds order nodes by capacity, so among nodes
// of one size those of the newest build lead: an older leader would not relay fields that it does
// not know.
const versionBonus = 1e-6

// reportedCapacity returns the capacity by which nodes are ordered for leadership.
func (n *Node) reportedCapacity() float64 { return n.settings.Capacity + versionBonus*protocolVersion }

// recordPeerVersion counts messages of a later protocol version than this build's. It logs each node and
// version once.
func (n *Node) recordPeerVersion(version int, name string) {
	if version <= protocolVersion {
		return
	}
	n.Count("status.later-version")
	if _, logged := n.loggedOnce.LoadOrStore(laterVersionKey{name, version}, true); !logged {
		n.log.WithFields(log.Fields{"node": name, "version": version, "own": protocolVersion}).Info("node of a later version")
	}
}

// laterVersionKey is the key by which a node and its later version are logged only once.
type laterVersionKey struct {
	name    string
	version int
}

// hideLimited changes an answer so that a node of a build without rate limits sends nothing to the
// limited instances. Such a node sends no requests to groups in Avoid, and skips instances that
// look full.
func (n *Node) hideLimited(a *StatusAnswer) {
	n.hide(a, n.limits.Active())
}

// hide changes an answer so that its receiver sends nothing to the instances with the given limits.
func (n *Node) hide(a *StatusAnswer, limits []ratelimit.Limit) {
	if len(limits) == 0 {
		return
	}
	var limited []fleet.Instance
	for i := range limits {
		limited = append(limited, n.instance(limits[i].Instance.ID))
	}
	a.InProgress, a.Avoid = hideInstances(limited, a.InProgress, a.Avoid)
}

// hideEvacuated changes totals so that nodes of builds without evacuations send nothing to groups in evacuated halls,
// and to plain instances there only if there are no others.
func (n *Node) hideEvacuated(t *totals, now time.Time) {
	phases := n.evacuations.view(now)
	var hidden []fleet.Instance
	for _, v := range n.roster.All(now) {
		if phases[v.Hall] == evacuation.Closed {
			hidden = append(hidden, v.Instance)
		}
	}
	t.InProgress, t.Avoid = hideInstances(hidden, t.InProgress, t.Avoid)
}

// hideInstances returns the given requests in progress and groups to avoid with changes that make instances look full.
func hideInstances(hidden []fleet.Instance, inProgress map[state.InstanceID]int, avoid []GroupEpoch) (map[state.InstanceID]int, []GroupEpoch) {
	inProgress = maps.Clone(inProgress)
	if inProgress == nil {
		inProgress = map[state.InstanceID]int{}
	}
	for i := range hidden {
		in := &hidden[i]
		inProgress[in.ID] += inProgressWhenFull * max(in.Slots, 1)
		if key := in.Membership.Key(); key.Group != "" && in.Membership.Rank == 0 {
			avoid = append(avoid[:len(avoid):len(avoid)], GroupEpoch{Group: key.Group, Epoch: key.Epoch})
		}
	}
	return inProgress, avoid
}

// inProgressWhenFull is the number of requests in progress per slot that is reported for an instance to
// make it look full.
const inProgressWhenFull = 100
