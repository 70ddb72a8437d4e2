package placement

import (
	"fmt"
	"runtime/debug"
	"time"
)

// StepError is a panic of a planning step, which is a fault of the program. The planner must not be used any further.
type StepError struct {
	Panic any
	Stack []byte
}

// Error implements error.
func (e *StepError) Error() string {
	return fmt.Sprintf("placement: planning step panicked: %v", e.Panic)
}

// TryStep is Step for a process that serves requests beside planning. A panic becomes a *StepError, since it would end the
// requests of all services, and those of the next leader, which plans with the same input.
func (p *Planner) TryStep(now time.Time, members []Member) (plan Plan, err error) {
	defer func() {
		if r := recover(); r != nil {
			plan, err = Plan{}, &StepError{Panic: r, Stack: debug.Stack()}
		}
	}()
	return p.Step(now, members), nil
}
