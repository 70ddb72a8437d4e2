package locality

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/state/catalog"
)

// HallLoad is the demand and the capacity of one data hall for the requests of a pool.
type HallLoad struct {
	Hall state.HallName
	// Capacity is the number of slots in the hall, InUse the number of them that requests of any hall will still occupy
	// at the end of the time that is planned for.
	Capacity, InUse float64
	// Arriving is the number of slots that the requests which arrive in the hall meanwhile will occupy then.
	Arriving float64
}

// Plan states where the requests that arrive in one data hall are served.
type Plan struct {
	// Fractions is the fraction of the hall's requests that each hall serves. They add up to 1. Halls that serve none
	// are missing.
	Fractions map[state.HallName]float64
	// Served is the fraction of the requests of all halls that each hall serves.
	Served map[state.HallName]float64
}

// minArriving is the number of slots that the requests of every hall are assumed to occupy at least, so that the plan of
// a hall without requests tells where its next one goes.
const minArriving = 0.01

// Plan divides the requests that arrive in a hall among all halls. Each hall serves its own requests first. It sends to
// others only what exceeds SetPoint of its slots or, if that is higher, the common utilization: that of all slots by all
// demand. No hall is filled above that level, so that the most loaded hall is not left with more than others. The nearest
// halls with room are filled first, equally near ones in proportion to their room. The result does not depend on the order of
// loads. It is nil if there is no capacity.
func (p Policy) Plan(own state.HallName, loads []HallLoad, delays []catalog.HallDelay) *Plan {
	t := newTransfers(loads, p.SetPoint)
	if t == nil {
		return nil
	}
	for _, pairs := range t.pairsByDelay(delays) {
		t.send(pairs)
	}
	t.sendRest()
	return t.plan(own)
}

// transfers is the computation of a plan for all halls.
type transfers struct {
	halls []HallLoad
	// excess is the demand of each hall that it can't serve at the common level, in slots, room the slots that it can
	// fill for others up to that level.
	excess, room []float64
	// sent is the demand that each hall sends to each other one, in slots.
	sent [][]float64
}

// newTransfers returns the transfers between halls before anything is sent, or nil if there is no capacity.
func newTransfers(loads []HallLoad, setPoint float64) *transfers {
	n := len(loads)
	t := &transfers{halls: slices.Clone(loads), excess: make([]float64, n), room: make([]float64, n), sent: make([][]float64, n)}
	slices.SortFunc(t.halls, func(a, b HallLoad) int { return cmp.Compare(a.Hall, b.Hall) })
	var demand, capacity float64
	for i := range t.halls {
		h := &t.halls[i]
		h.Arriving = max(h.Arriving, minArriving)
		demand += h.InUse + h.Arriving
		capacity += h.Capacity
	}
	if capacity <= 0 {
		return nil
	}
	level := max(demand/capacity, setPoint)
	for i, h := range t.halls {
		over := h.InUse + h.Arriving - level*h.Capacity
		t.excess[i], t.room[i] = min(max(over, 0), h.Arriving), max(-over, 0)
		t.sent[i] = make([]float64, n)
	}
	return t
}

// hallPair is a hall that sends and one that receives, by their indexes.
type hallPair struct{ from, to int }

// pairsByDelay returns the pairs of halls of which the first has an excess and the second has room, those with the
// shortest delay first and those with equal delays together. Pairs without a stated delay come last.
func (t *transfers) pairsByDelay(delays []catalog.HallDelay) [][]hallPair {
	byDelay := map[time.Duration][]hallPair{}
	for from := range t.halls {
		for to := range t.halls {
			if t.excess[from] > 0 && t.room[to] > 0 {
				d := delayBetween(t.halls[from].Hall, t.halls[to].Hall, delays)
				byDelay[d] = append(byDelay[d], hallPair{from, to})
			}
		}
	}
	tiers := make([]time.Duration, 0, len(byDelay))
	for d := range byDelay {
		tiers = append(tiers, d)
	}
	slices.Sort(tiers)
	list := make([][]hallPair, len(tiers))
	for i, d := range tiers {
		list[i] = byDelay[d]
	}
	return list
}

// unknownDelay is the delay of a pair of halls for which none is stated.
const unknownDelay = time.Duration(math.MaxInt64)

// delayBetween returns the stated delay from one hall to another, or that of the opposite direction.
func delayBetween(from, to state.HallName, delays []catalog.HallDelay) time.Duration {
	delay := unknownDelay
	for _, d := range delays {
		switch {
		case d.From == from && d.To == to:
			return d.Delay
		case d.From == to && d.To == from:
			delay = d.Delay
		}
	}
	return delay
}

// sendRounds is the number of rounds in which excess is divided in proportion to the room. Each round leaves less of it;
// sendRest sends what remains.
const sendRounds = 8

// send sends excess over pairs of halls: each hall divides its excess in proportion to the room of the receivers, and
// receivers that would get more than their room reduce what all senders send them by the same factor.
func (t *transfers) send(pairs []hallPair) {
	for range sendRounds {
		roomOf := make([]float64, len(t.halls))
		for _, p := range pairs {
			roomOf[p.from] += t.room[p.to]
		}
		wanted, total := make([]float64, len(pairs)), make([]float64, len(t.halls))
		for i, p := range pairs {
			if roomOf[p.from] > 0 {
				wanted[i] = t.excess[p.from] * t.room[p.to] / roomOf[p.from]
				total[p.to] += wanted[i]
			}
		}
		room := slices.Clone(t.room)
		for i, p := range pairs {
			if total[p.to] > 0 {
				t.move(p, wanted[i]*min(1, room[p.to]/total[p.to]))
			}
		}
	}
}

// sendRest sends the remaining excess to the remaining room. Since the room of all halls together covers the excess of all, what
// stays behind is below the precision of the numbers, except in a hall without capacity.
func (t *transfers) sendRest() {
	for from := range t.halls {
		for to := range t.halls {
			if amount := min(t.excess[from], t.room[to]); amount > 0 {
				t.move(hallPair{from, to}, amount)
			}
		}
	}
}

// move moves an amount of demand, in slots, from one hall to another.
func (t *transfers) move(p hallPair, amount float64) {
	t.sent[p.from][p.to] += amount
	t.excess[p.from] = max(t.excess[p.from]-amount, 0)
	t.room[p.to] = max(t.room[p.to]-amount, 0)
}

// minFraction is the fraction of a hall's requests below which it sends none to another hall.
const minFraction = 1e-3

// plan returns the plan of one hall. A hall that is not among the halls has neither demand nor capacity.
func (t *transfers) plan(own state.HallName) *Plan {
	out := &Plan{Fractions: map[state.HallName]float64{}, Served: map[state.HallName]float64{}}
	var total float64
	for _, h := range t.halls {
		total += h.Arriving
	}
	for i, h := range t.halls {
		served := h.Arriving
		for j := range t.halls {
			served += t.sent[j][i] - t.sent[i][j]
		}
		if served = max(served, 0); served > minFraction*total {
			out.Served[h.Hall] = served / total
		}
	}
	i := slices.IndexFunc(t.halls, func(h HallLoad) bool { return h.Hall == own })
	if i < 0 {
		out.Fractions = out.Served
		return out
	}
	remaining := t.halls[i].Arriving
	for j, h := range t.halls {
		if f := t.sent[i][j] / t.halls[i].Arriving; f >= minFraction {
			out.Fractions[h.Hall] = f
			remaining -= t.sent[i][j]
		}
	}
	if f := remaining / t.halls[i].Arriving; f >= minFraction {
		out.Fractions[own] = f
	}
	normalize(out.Fractions)
	return out
}

// normalize scales fractions so that they add up to 1.
func normalize(fractions map[state.HallName]float64) {
	var total float64
	for _, f := range fractions {
		total += f
	}
	for hall := range fractions {
		fractions[hall] /= total
	}
}
