package state_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/troutmast/troutmast/internal/fixedseed" // rapid draws the same cases in every run

	_ "github.com/troutmast/troutmast/internal/seed"
	"github.com/troutmast/troutmast/state"
)

// start is the initial log time in tests; the timestamps of ids are based on it.
var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// idAt returns a UUIDv7 with a timestamp and a serial number.
func idAt(at time.Time, n int) string {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[7], u[8] = 0x70|byte(n>>16)&0x0f, byte(n>>8), 0x80
	u[15] = byte(n)
	return u.String()
}

// command returns an encoded command.
func command(id string, ops ...state.Op) []byte {
	data, err := (&state.Record{Version: state.RecordVersion, ID: id, Kind: state.KindCommand, By: "t", Ops: ops}).Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// apply applies data at the next offset.
func apply(s *state.State, at time.Time, data []byte) (state.Outcome, error) {
	return s.Apply(state.Entry{Offset: s.Offset() + 1, Time: at, Data: data})
}

// place returns the n-th instance of a small deployment with two fabric domains.
func place(n int) state.Place {
	return state.Place{Instance: state.InstanceID(fmt.Sprintf("i%d", n)), Hall: "h", Domain: fmt.Sprintf("d%d", n%2)}
}

// group returns the name of the n-th group.
func group(n int) state.GroupName { return state.GroupName(fmt.Sprintf("g%d", n)) }

// opGen draws an operation on a small deployment, often one that must be refused.
var opGen = rapid.Custom(func(t *rapid.T) state.Op {
	g := group(rapid.IntRange(0, 3).Draw(t, "group"))
	n := rapid.IntRange(0, 9).Draw(t, "instance")
	rank := rapid.IntRange(0, 2).Draw(t, "rank")
	epoch := state.Epoch(rapid.IntRange(0, 30).Draw(t, "epoch"))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0, 1:
		places := []state.Place{place(n), place((n + 2) % 10)}
		return state.Op{CreateGroup: &state.CreateGroup{Name: g, Model: state.Model{Name: "m"}, Gate: state.GateWindow, Members: places}}
	case 2:
		return state.Op{ReplaceMember: &state.ReplaceMember{Group: g, Rank: rank, Out: place(n).Instance, In: place((n + 4) % 10)}}
	case 3:
		return state.Op{VacateMember: &state.VacateMember{Group: g, Epoch: epoch, Rank: rank, Out: place(n).Instance}}
	case 4:
		return state.Op{ReleaseGroup: &state.ReleaseGroup{Group: g}}
	case 5:
		return state.Op{DissolveGroup: &state.DissolveGroup{Group: g, Epoch: epoch}}
	case 6:
		return state.Op{FreeInstance: &state.FreeInstance{Instance: place(n).Instance, Epoch: epoch}}
	case 7:
		return state.Op{CreateService: &state.CreateService{Name: "s", Instances: []state.InstanceID{place(n).Instance}, Keys: state.KeysClaimed}}
	}
	return state.Op{BindModel: &state.BindModel{Group: g, Model: state.Model{Name: "m2"}}}
})

// historyGen draws a log of commands in any order, some duplicated and some voided.
var historyGen = rapid.Custom(func(t *rapid.T) []state.Entry {
	var records [][]byte
	for n := range rapid.IntRange(1, 40).Draw(t, "commands") {
		id := idAt(start, n)
		records = append(records, command(id, rapid.SliceOfN(opGen, 1, 3).Draw(t, "ops")...))
		if rapid.IntRange(0, 5).Draw(t, "void") == 0 {
			records = append(records, encode(&state.Record{Version: 1, ID: idAt(start, 1000+n), Kind: state.KindVoid, By: "t", Void: id}))
		}
		if rapid.IntRange(0, 3).Draw(t, "again") == 0 {
			records = append(records, records[rapid.IntRange(0, len(records)-1).Draw(t, "which")])
		}
	}
	records = rapid.Permutation(records).Draw(t, "order")
	entries := make([]state.Entry, len(records))
	for i, data := range records {
		entries[i] = state.Entry{Offset: state.Offset(i + 1), Time: start.Add(time.Duration(i) * time.Second), Data: data}
	}
	return entries
})

// encode returns an encoded record.
func encode(r *state.Record) []byte {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

// applyAll applies entries and fails the test on an error.
func applyAll(t *rapid.T, s *state.State, entries []state.Entry) {
	for _, e := range entries {
		if _, err := s.Apply(e); err != nil {
			t.Fatalf("offset %d: %v", e.Offset, err)
		}
	}
}

// checkAssignments fails if an instance is in two groups, or if groups and assignments disagree.
func checkAssignments(t *rapid.T, s *state.State) {
	groupOf := map[state.InstanceID]state.GroupName{}
	for _, g := range s.Groups() {
		for rank, id := range g.Members {
			if id == "" {
				continue
			}
			if other, ok := groupOf[id]; ok {
				t.Fatalf("%s is in %s and in %s", id, other, g.Name)
			}
			groupOf[id] = g.Name
			a := s.Assignment(id)
			if a == nil || a.Group != g.Name || a.Epoch != g.Epoch || a.Rank != rank || a.Domain != g.Domain {
				t.Fatalf("%s of %s has assignment %+v", id, g.Name, a)
			}
		}
	}
	for _, a := range s.Assignments() {
		if a.Group != "" && groupOf[a.Instance] != a.Group {
			t.Fatalf("%s is assigned to %s, which does not list it as a member", a.Instance, a.Group)
		}
	}
}

// TestNoInstanceInTwoGroups checks the invariant after every record of a drawn history.
func TestNoInstanceInTwoGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		for _, e := range historyGen.Draw(t, "history") {
			applyAll(t, s, []state.Entry{e})
			checkAssignments(t, s)
		}
	})
}

// TestReplayWithSnapshotsReachesSameState checks that replaying the whole log, and replaying it with
// restores from snapshots at drawn offsets, reach the same digest.
func TestReplayWithSnapshotsReachesSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := historyGen.Draw(t, "history")
		full := state.New()
		applyAll(t, full, entries)
		want, err := full.Digest()
		if err != nil {
			t.Fatal(err)
		}
		restored := state.New()
		for i, e := range entries {
			applyAll(t, restored, []state.Entry{e})
			if rapid.IntRange(0, 4).Draw(t, "snapshot") > 0 {
				continue
			}
			snap, err := restored.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if restored, err = state.Restore(snap); err != nil {
				t.Fatalf("after %d: %v", i, err)
			}
		}
		if got, _ := restored.Digest(); got != want {
			t.Fatalf("digest after restores does not equal digest after full replay")
		}
	})
}

// TestRefusedCommandLeavesStateUnchanged covers commands of which only one operation is refused, too.
func TestRefusedCommandLeavesStateUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		for _, e := range historyGen.Draw(t, "history") {
			before := commandState(s)
			o, err := s.Apply(e)
			if err != nil {
				t.Fatal(err)
			}
			if !o.Accepted && o.Reason == "" {
				t.Fatalf("record refused without a reason: %+v", o)
			}
			if !o.Accepted && commandState(s) != before {
				t.Fatalf("record refused (%s) but state changed:\n%s\n%s", o.Reason, before, commandState(s))
			}
		}
	})
}

// commandState returns the part of the state that commands can change, as JSON.
func commandState(s *state.State) string {
	data, _ := json.Marshal([]any{s.Groups(), s.Assignments(), s.Teams(), s.Services(), s.Policy(), s.LastAcceptedOffset()})
	return string(data)
}

// TestDuplicateRecordHasNoEffect checks that a second record with the same id, at any later offset, has
// no effect and the same outcome.
func TestDuplicateRecordHasNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		outcomes := map[string]state.Outcome{}
		for _, e := range historyGen.Draw(t, "history") {
			before := commandState(s)
			o, err := s.Apply(e)
			if err != nil {
				t.Fatal(err)
			}
			first, seen := outcomes[o.ID]
			if seen && (o != first || commandState(s) != before) {
				t.Fatalf("duplicate of %s had an effect", o.ID)
			}
			outcomes[o.ID] = o
		}
	})
}

func TestOutcomes(t *testing.T) {
	create := func(name state.GroupName, n ...int) state.Op {
		var places []state.Place
		for _, i := range n {
			places = append(places, place(i))
		}
		return state.Op{CreateGroup: &state.CreateGroup{Name: name, Model: state.Model{Name: "m"}, Gate: state.GateWindow, Members: places}}
	}
	cases := []struct {
		name   string
		before []state.Op
		ops    []state.Op
		reason state.Reason
	}{
		{"accepted", nil, []state.Op{create("g", 0, 2)}, ""},
		{"instance in use", []state.Op{create("g", 0, 2)}, []state.Op{create("h", 2, 4)}, state.ReasonInstanceInUse},
		{"same instance twice", nil, []state.Op{create("g", 2, 2)}, state.ReasonInstanceInUse},
		{"two domains", nil, []state.Op{create("g", 0, 1)}, state.ReasonDomainMismatch},
		{"group exists", []state.Op{create("g", 0)}, []state.Op{create("g", 2)}, state.ReasonGroupExists},
		{"no members", nil, []state.Op{create("g")}, state.ReasonGroupSize},
		{"empty", nil, nil, state.ReasonEmptyCommand},
		{"second operation refused", nil, []state.Op{create("g", 0), create("h", 0)}, state.ReasonInstanceInUse},
		{"stale epoch", []state.Op{create("g", 0)}, []state.Op{{ReleaseGroup: &state.ReleaseGroup{Group: "g", Epoch: 7}}}, state.ReasonEpochChanged},
		{"dissolve without release", []state.Op{create("g", 0)}, []state.Op{{DissolveGroup: &state.DissolveGroup{Group: "g", Epoch: 1}}}, state.ReasonNotReleasing},
		{"free instance not being released", []state.Op{create("g", 0)}, []state.Op{{FreeInstance: &state.FreeInstance{Instance: "i0", Epoch: 1}}}, state.ReasonNotReleasing},
		{"replacement still assigned", []state.Op{create("g", 0), create("h", 2)}, []state.Op{{ReplaceMember: &state.ReplaceMember{Group: "g", Rank: 0, Out: "i0", In: place(2)}}}, state.ReasonInstanceInUse},
		{"no places", []state.Op{{CreateTeam: &state.CreateTeam{Name: "t", KeyHashes: []string{"x"}}}}, []state.Op{{AllowTeam: &state.AllowTeam{Team: "t", Hall: "h"}}}, state.ReasonBadValue},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := state.New()
			for i, op := range c.before {
				o, err := apply(s, start, command(idAt(start, i), op))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(o.Accepted).To(BeTrue(), o.Detail)
			}
			before := commandState(s)
			o, err := apply(s, start, command(idAt(start, 99), c.ops...))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(o.Reason).To(Equal(c.reason), o.Detail)
			g.Expect(o.Accepted).To(Equal(c.reason == ""))
			if c.reason != "" {
				g.Expect(commandState(s)).To(Equal(before))
			}
		})
	}
}

func TestUnknownRecordIsNotApplied(t *testing.T) {
	cases := []struct{ name, data string }{
		{"kind", `{"v":1,"id":"x","kind":"new-kind"}`},
		{"version", `{"v":2,"id":"x","kind":"command"}`},
		{"field", `{"v":1,"id":"x","kind":"command","new":1}`},
		{"operation", `{"v":1,"id":"x","kind":"command","ops":[{"new_op":{}}]}`},
		{"operation without change", `{"v":1,"id":"x","kind":"command","ops":[{}]}`},
		{"invalid JSON", `{`},
		{"trailing data", `{"v":1,"id":"x","kind":"command"}{}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := state.New()
			before, _ := s.Digest()
			_, err := apply(s, start, []byte(c.data))
			g.Expect(errors.Is(err, state.ErrUnknownRecord)).To(BeTrue())
			after, _ := s.Digest()
			g.Expect(after).To(Equal(before))
		})
	}
}

func TestFirstOfVoidAndCommandDecides(t *testing.T) {
	g := NewWithT(t)
	id := idAt(start, 1)
	void := encode(&state.Record{Version: 1, ID: idAt(start, 2), Kind: state.KindVoid, By: "t", Void: id})
	op := state.Op{CreateTeam: &state.CreateTeam{Name: "t", KeyHashes: []string{"x"}}}

	s := state.New()
	o, _ := apply(s, start, void)
	g.Expect(o.Accepted).To(BeTrue())
	o, _ = apply(s, start, command(id, op))
	g.Expect(o.Reason).To(Equal(state.ReasonVoided))
	g.Expect(s.Teams()).To(BeEmpty())

	s = state.New()
	o, _ = apply(s, start, command(id, op))
	g.Expect(o.Accepted).To(BeTrue())
	o, _ = apply(s, start, void)
	g.Expect(o.Reason).To(Equal(state.ReasonAlreadySettled))
	g.Expect(s.Teams()).To(HaveLen(1))
}

// TestDuplicateAfterEvictionIsNotApplied applies a duplicate at a drawn delay, before or after its id has
// been evicted.
func TestDuplicateAfterEvictionIsNotApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skew := time.Duration(rapid.Int64Range(0, int64(state.MaxSkew)).Draw(t, "skew"))
		delay := time.Duration(rapid.Int64Range(0, int64(2*state.IDHorizon)).Draw(t, "late"))
		s := state.New()
		data := command(idAt(start.Add(skew), 1), state.Op{DrainGroup: &state.DrainGroup{Group: "g"}})
		mustApply(t, s, start, command(idAt(start, 2), state.Op{CreateGroup: &state.CreateGroup{Name: "g", Model: state.Model{Name: "m"}, Gate: state.GateWindow, Members: []state.Place{place(0)}}}))
		if o := mustApply(t, s, start, data); !o.Accepted {
			t.Fatalf("%+v", o)
		}
		at := start.Add(delay)
		mustApply(t, s, at, command(idAt(at, 3), state.Op{DrainGroup: &state.DrainGroup{Group: "g", Off: true}}))
		mustApply(t, s, at, data)
		if s.Group("g").Drained != 0 {
			t.Fatalf("duplicate had an effect %s after the original", delay)
		}
	})
}

// mustApply applies data and fails the test on an error.
func mustApply(t *rapid.T, s *state.State, at time.Time, data []byte) state.Outcome {
	o, err := apply(s, at, data)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// TestClaimedCallIsExecutedAtMostOnce has several holders claim and release one key, execute its
// call and record the result. Each record may be delayed or duplicated.
func TestClaimedCallIsExecutedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := state.ClaimKey{Team: "t", Service: "s", Key: idAt(start, 1)}
		s := state.New()
		executions := 0
		settled := map[string]bool{}
		var queue []state.ClaimOp
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			holder := fmt.Sprintf("n%d", rapid.IntRange(0, 3).Draw(t, "holder"))
			c, ok := s.Claim(key)
			isHolder := ok && c.Holder == holder && !c.Released && c.Result == nil
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0:
				if !settled[holder] {
					queue = append(queue, state.ClaimOp{Key: key, Holder: holder, Request: "r"})
				}
			case 1:
				if isHolder && !settled[holder] {
					executions++
					settled[holder] = true
					queue = append(queue, state.ClaimOp{Key: key, Holder: holder, Result: &state.ClaimResult{Status: 200}})
				}
			case 2:
				if !settled[holder] {
					settled[holder] = true
					queue = append(queue, state.ClaimOp{Key: key, Holder: holder, NotRun: true})
				}
			default:
				if len(queue) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(queue)-1).Draw(t, "which")
				r := &state.Record{Version: 1, ID: idAt(start, step), Kind: state.KindClaims, By: "t", Claims: []state.ClaimOp{queue[i]}}
				mustApply(t, s, start.Add(time.Duration(step)*time.Second), encode(r))
				if rapid.Bool().Draw(t, "settled") {
					queue = slices.Delete(queue, i, i+1)
				}
			}
		}
		if executions > 1 {
			t.Fatalf("call executed %d times, expected at most 1", executions)
		}
	})
}

// TestReleasedKeyCanBeClaimedByOthers checks that another holder can claim a released key, also if a
// delayed or duplicated claim of the first holder is applied after its release.
func TestReleasedKeyCanBeClaimedByOthers(t *testing.T) {
	key := state.ClaimKey{Team: "t", Service: "s", Key: idAt(start, 1)}
	claim := func(holder string) state.ClaimOp { return state.ClaimOp{Key: key, Holder: holder, Request: "r"} }
	release := state.ClaimOp{Key: key, Holder: "first", NotRun: true}
	cases := []struct {
		name string
		ops  []state.ClaimOp
	}{
		{"claim, release", []state.ClaimOp{claim("first"), release}},
		{"claim after release", []state.ClaimOp{release, claim("first")}},
		{"duplicate claim after release", []state.ClaimOp{claim("first"), release, claim("first")}},
		{"claim and release duplicated", []state.ClaimOp{claim("first"), release, claim("first"), release}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := state.New()
			for i, op := range append(c.ops, claim("second")) {
				_, err := apply(s, start, encode(&state.Record{Version: 1, ID: idAt(start, i), Kind: state.KindClaims, By: "t", Claims: []state.ClaimOp{op}}))
				g.Expect(err).NotTo(HaveOccurred())
			}
			got, _ := s.Claim(key)
			g.Expect(got.Holder).To(Equal("second"))
			g.Expect(got.Released).To(BeFalse())
		})
	}
}

// TestTimePrecisionOfSourceDoesNotAffectState checks that an entry read from the log and the same
// entry from a peer, which passes on times in microseconds, lead to the same digest.
func TestTimePrecisionOfSourceDoesNotAffectState(t *testing.T) {
	g := NewWithT(t)
	data := command(idAt(start, 1), state.Op{CreateTeam: &state.CreateTeam{Name: "t", KeyHashes: []string{"x"}}})
	precise := start.Add(123456789 * time.Nanosecond)
	fromLog, fromPeer := state.New(), state.New()
	_, err := apply(fromLog, precise.In(time.FixedZone("far", 3600)), data)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = apply(fromPeer, time.UnixMicro(precise.UnixMicro()), data)
	g.Expect(err).NotTo(HaveOccurred())
	a, _ := fromLog.Digest()
	b, _ := fromPeer.Digest()
	g.Expect(a).To(Equal(b))
}

func TestRestoreRejectsDamagedSnapshot(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	_, err := apply(s, start, command(idAt(start, 1), state.Op{CreateTeam: &state.CreateTeam{Name: "t", KeyHashes: []string{"x"}}}))
	g.Expect(err).NotTo(HaveOccurred())
	snap, err := s.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	for _, damage := range []func(*state.Snapshot){
		func(x *state.Snapshot) { x.Digest = "0" + x.Digest[1:] },
		func(x *state.Snapshot) { x.Data = x.Data[:len(x.Data)/2] },
		func(x *state.Snapshot) { x.At++ },
		func(x *state.Snapshot) { x.Data = nil },
	} {
		damaged := *snap
		damaged.Data = slices.Clone(snap.Data)
		damage(&damaged)
		_, err := state.Restore(&damaged)
		g.Expect(errors.Is(err, state.ErrInvalidSnapshot)).To(BeTrue())
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add(command(idAt(start, 1), state.Op{DrainGroup: &state.DrainGroup{Group: "g"}}))
	f.Add([]byte(`{"v":1,"id":"x","kind":"snapshot","snapshot":{"at":1,"digest":"","data":"AAAA"}}`))
	f.Add([]byte(`{"v":1,"id":"x","kind":"claims","claims":[{"key":{"key":"k"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := state.New()
		before, _ := s.Digest()
		if _, err := apply(s, start, data); err != nil {
			if after, _ := s.Digest(); after != before {
				t.Fatal("record that could not be decoded changed the state")
			}
			return
		}
		if s.Offset() != 1 {
			t.Fatal("applied record did not advance the offset")
		}
	})
}
