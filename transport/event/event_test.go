package event_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/state"
	"github.com/troutmast/troutmast/transport/event"
)

// The page for operators names each decision that is logged, with all of its fields and no other.
func TestOperatorsFindEachFieldOfADecision(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, d := range []event.Decision{
		&event.AttemptFailed{Err: errors.New("reset")},
		&event.AttemptRefused{},
		&event.AttemptHeldBack{Err: errors.New("cooling down")},
		&event.RequestForwarded{},
		&event.RequestEnded{},
		&event.RequestAnswered{},
		&event.CallerLeft{},
		&event.HandoverPanicked{},
	} {
		t.Run(d.Name(), func(t *testing.T) {
			g := NewWithT(t)
			var want []string
			for field := range d.Fields() {
				want = append(want, field)
			}
			g.Expect(listed(string(page), d.Name())).To(ConsistOf(want))
		})
	}
}

// listed returns the fields that the page's table of log lines names for one of them.
func listed(page, name string) []string {
	_, rest, _ := strings.Cut(page, "\n| `"+name+"` |")
	row, _, _ := strings.Cut(rest, "\n")
	cells := strings.Split(row, "|")
	if len(cells) < 2 {
		return nil
	}
	var fields []string
	for i, part := range strings.Split(cells[1], "`") {
		if i%2 == 1 {
			fields = append(fields, part)
		}
	}
	return fields
}

// Guards against lines of the size of a response's head: an instance states these values.
func TestValuesOfAnInstanceAreCutInTheLog(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 60_000)
	f := (&event.AttemptRefused{Responder: state.InstanceID(long), Culprit: long}).Fields()
	for _, name := range []string{"responder", "culprit"} {
		g.Expect(fmt.Sprint(f[name])).To(Equal(long[:64]), name)
	}
}
