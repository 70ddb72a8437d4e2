package rpc

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
)

// Nodes of different versions call each other, and troutctl calls nodes of any version. Each field
// of an earlier version must keep its number, name and type, and each call its message types.
func TestSchemaKeepsFieldsAndCallsOfEarlierVersions(t *testing.T) {
	g := NewWithT(t)
	paths, err := filepath.Glob("testdata/*/troutmast.binpb")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(paths).NotTo(BeEmpty())
	current := protodesc.ToFileDescriptorProto(File_rpc_troutmast_proto)
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			raw, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			earlier := &descriptorpb.FileDescriptorProto{}
			g.Expect(proto.Unmarshal(raw, earlier)).To(Succeed())
			checkMessages(g, earlier.GetMessageType(), current.GetMessageType())
			checkCalls(g, earlier, current)
		})
	}
}

// checkMessages checks that all fields of the earlier messages are unchanged.
func checkMessages(g *WithT, earlier, current []*descriptorpb.DescriptorProto) {
	byName := map[string]*descriptorpb.DescriptorProto{}
	for _, m := range current {
		byName[m.GetName()] = m
	}
	for _, m := range earlier {
		g.Expect(byName).To(HaveKey(m.GetName()))
		fields := map[int32]*descriptorpb.FieldDescriptorProto{}
		for _, f := range byName[m.GetName()].GetField() {
			fields[f.GetNumber()] = f
		}
		for _, f := range m.GetField() {
			g.Expect(proto.Equal(fields[f.GetNumber()], f)).To(BeTrue(), "%s.%s", m.GetName(), f.GetName())
		}
		checkMessages(g, m.GetNestedType(), byName[m.GetName()].GetNestedType())
	}
}

// checkCalls checks that all calls of the earlier services are unchanged, with the same message types.
func checkCalls(g *WithT, earlier, current *descriptorpb.FileDescriptorProto) {
	calls := map[string]*descriptorpb.MethodDescriptorProto{}
	for _, s := range current.GetService() {
		for _, m := range s.GetMethod() {
			calls[s.GetName()+"/"+m.GetName()] = m
		}
	}
	for _, s := range earlier.GetService() {
		for _, m := range s.GetMethod() {
			name := s.GetName() + "/" + m.GetName()
			g.Expect(proto.Equal(calls[name], m)).To(BeTrue(), name)
		}
	}
}
