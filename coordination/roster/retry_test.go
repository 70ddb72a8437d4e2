package roster_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/coordination/roster"
	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/fleet"
)

// newUnreachable returns a roster with instances of two halls, none of which answered two requests.
func newUnreachable(perHall int) *roster.Roster {
	r := roster.New(roster.Config{HeartbeatInterval: 1200 * time.Millisecond, StallTimeout: 4 * time.Second, Policy: roster.DefaultPolicy()})
	for _, hall := range []state.HallName{"east", "west"} {
		for n := range perHall {
			id := state.InstanceID(fmt.Sprintf("%s-%d", hall, n))
			r.ApplyFreshEntry(fleet.Instance{ID: id, Service: "lm", Hall: hall, Position: 5}, start)
			r.RecordFailure(id, start)
			r.RecordFailure(id, start.Add(50*time.Millisecond))
		}
	}
	return r
}

// retries returns the instances that DueRetries returns at every 50 ms of a span.
func retries(r *roster.Roster, from, to time.Duration) []state.InstanceID {
	var ids []state.InstanceID
	for at := from; at < to; at += 50 * time.Millisecond {
		for _, m := range r.DueRetries(start.Add(at), 8) {
			ids = append(ids, m.ID)
			r.RecordFailure(m.ID, start.Add(at))
		}
	}
	return ids
}

// Guards against a node that never uses an instance again. Behind a partition of 6 s, the nodes of a hall
// found the instances of the other halls unreachable. Only the leader probed them afterwards: all other nodes refused
// requests until they were restarted, though the instances answered again.
func TestUnreachableInstancesAreProbedAgain(t *testing.T) {
	g := NewWithT(t)
	r := newUnreachable(9)
	g.Expect(retries(r, 0, time.Second)).To(BeEmpty(), "too soon")
	during := retries(r, time.Second, 7*time.Second)
	g.Expect(during).To(HaveLen(12), "one per hall and second")
	answered := during[len(during)-1]
	v, _ := r.Get(answered, start.Add(7*time.Second))
	r.RecordResponse(answered, start.Add(7*time.Second))
	byHall := map[state.HallName]int{}
	for _, id := range retries(r, 7*time.Second, 7100*time.Millisecond) {
		other, _ := r.Get(id, start.Add(8*time.Second))
		byHall[other.Hall]++
	}
	g.Expect(byHall[v.Hall]).To(Equal(8), "all others of the hall that answers")
	v, _ = r.Get(answered, start.Add(7*time.Second))
	g.Expect(v.Unreachable).To(BeFalse())
}

// An instance that stays silent is probed ever more seldom, one that has left the list not at all.
func TestRetriesOfSilentInstances(t *testing.T) {
	for _, c := range []struct {
		name string
		gone bool
		want int
	}{
		{"listed", false, 7}, // after 1, 3, 7, 11, 15, 19 and 23 s
		{"unlisted", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := roster.New(roster.Config{HeartbeatInterval: 1200 * time.Millisecond, Policy: roster.DefaultPolicy()})
			r.ApplyFreshEntry(free, start)
			r.RecordFailure(free.ID, start)
			r.RecordFailure(free.ID, start.Add(50*time.Millisecond))
			if c.gone {
				r.MarkUnlisted(free.ID, 6, start)
			}
			NewWithT(t).Expect(retries(r, 0, 25*time.Second)).To(HaveLen(c.want))
		})
	}
}
