package overload

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/troutmast/troutmast/state/catalog"
)

// Group is the load of a group and what it can process.
type Group struct {
	// Slots is the number of slots of its batch, InFlight the number of requests in progress, waiting ones included.
	Slots, InFlight float64
	Speed           Speed
}

// Room returns how many requests a second all nodes together may send to a group for whose model requests occupy a
// slot for hold, which is 0 if unknown, and have a mean number of prompt tokens. Without knowledge of the prompts or
// of the rate at which they are processed, only slots count.
func (p *Policy) Room(g Group, hold time.Duration, meanPrompt float64) float64 {
	room := (p.SetPoint*g.Slots - g.InFlight) / p.Horizon.Seconds()
	if hold > 0 {
		room += min(g.InFlight, g.Slots) / hold.Seconds()
	}
	promptRate := g.Speed.PromptRate(min(g.InFlight, g.Slots))
	if p.PromptLoad > 0 && promptRate > 0 && meanPrompt > 0 {
		room = min(room, p.PromptLoad*promptRate/meanPrompt)
	}
	return max(room, 0)
}

// IsFull reports whether a group gets no request, whatever room the totals show.
func (p *Policy) IsFull(g Group) bool { return g.InFlight >= p.MaxInFlight*g.Slots }

// Speed is how fast a group processes prompts between the decode steps of its batch. The zero value means unknown.
type Speed struct {
	// tokens is the number of prompt tokens in a pass. The pass takes base and perRequest for each request in the
	// batch, in seconds.
	tokens, base, perRequest float64
}

// NewSpeed returns the speed of the groups of a model, unknown if the configuration does not state it. If the configuration
// does not limit the prompt tokens in a pass, decode steps take no time from prompts.
func NewSpeed(engine *catalog.Engine, model *catalog.Model) Speed {
	factor := timeFactor(model)
	if engine.PromptTokensPerPass == 0 || engine.PrefillTokensPerSecond == 0 {
		return Speed{tokens: engine.PrefillTokensPerSecond, base: factor}
	}
	tokens, steps := float64(engine.PromptTokensPerPass), float64(max(engine.StepsPerPass, 1))
	return Speed{
		tokens:     tokens,
		base:       factor * (tokens/engine.PrefillTokensPerSecond + steps*engine.StepTime.Seconds()),
		perRequest: factor * steps * engine.StepTimePerRequest.Seconds(),
	}
}

// PromptRate returns the number of prompt tokens per second that a group can process with a number of requests in its
// batch, or 0 if it is unknown.
func (s Speed) PromptRate(batch float64) float64 {
	if s.tokens == 0 {
		return 0
	}
	return s.tokens / (s.base + batch*s.perRequest)
}

// ExpectedHold returns the time for which requests of a model occupy a slot of a full group, by the configuration, or 0
// if it does not state enough.
func ExpectedHold(engine *catalog.Engine, model *catalog.Model) time.Duration {
	seconds := engine.MeanResponseTokens * stepTime(engine) * timeFactor(model)
	return time.Duration(seconds * float64(time.Second))
}

// stepTime returns the duration of a decode step of a full batch, in seconds.
func stepTime(engine *catalog.Engine) float64 {
	return engine.StepTime.Seconds() + engine.StepTimePerRequest.Seconds()*float64(engine.BatchSlots)
}

// timeFactor returns the factor of a model's times.
func timeFactor(model *catalog.Model) float64 {
	if model.TimeFactor == 0 {
		return 1
	}
	return model.TimeFactor
}

// holdWeight is the weight of the newest request in the mean hold time.
const holdWeight = 0.05

// HoldTime is the mean time that requests for a model occupy a slot. It is safe for concurrent use.
type HoldTime struct{ mean atomic.Uint64 }

// Mean returns the mean, or 0 before the first request.
func (h *HoldTime) Mean() time.Duration {
	return time.Duration(math.Float64frombits(h.mean.Load()) * float64(time.Second))
}

// Record records that a request occupied a slot for a duration. Before the first one, the mean is expected, if that is
// known.
func (h *HoldTime) Record(d, expected time.Duration) {
	for {
		old := h.mean.Load()
		mean := math.Float64frombits(old)
		if mean == 0 {
			mean = expected.Seconds()
		}
		if mean == 0 {
			mean = d.Seconds()
		}
		if h.mean.CompareAndSwap(old, math.Float64bits(mean+holdWeight*(d.Seconds()-mean))) {
			return
		}
	}
}
