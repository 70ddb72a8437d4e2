package peer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/troutmast/troutmast/protocol/peer"
)

func TestPackedValueIsUnpackedUnchanged(t *testing.T) {
	g := NewWithT(t)
	value := map[string]int{"i-1": 3, "i-2": 0}
	packed, err := peer.Pack(value)
	g.Expect(err).NotTo(HaveOccurred())
	var unpacked map[string]int
	g.Expect(packed.Unpack(&unpacked)).To(Succeed())
	g.Expect(unpacked).To(Equal(value))
}

func TestEmptyPackedValueLeavesTheTarget(t *testing.T) {
	g := NewWithT(t)
	value := 7
	g.Expect(peer.Packed(nil).Unpack(&value)).To(Succeed())
	g.Expect(value).To(Equal(7))
}

func TestDamagedPackedValueIsAnError(t *testing.T) {
	whole, err := peer.Pack([]string{"a", "b", "c"})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct {
		name   string
		packed peer.Packed
	}{
		{"no compressed data", peer.Packed("abc")},
		{"cut off", whole[:len(whole)-4]},
		{"a flipped byte", append(append(peer.Packed{}, whole[:len(whole)-6]...), make([]byte, 6)...)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var unpacked []string
			NewWithT(t).Expect(c.packed.Unpack(&unpacked)).NotTo(Succeed())
		})
	}
}

func TestValueThatCannotBeEncodedIsAnError(t *testing.T) {
	_, err := peer.Pack(make(chan int))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("chan int")))
}
