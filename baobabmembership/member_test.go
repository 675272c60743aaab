package baobabmembership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// FuzzMemberFromWire guards against records that crash the table or change on their way through it.
func FuzzMemberFromWire(f *testing.F) {
	whole := fleetMember(1, 1)
	whole.SetLabels(map[string]string{"k": "v"})
	bare := node("a", "d", 1)
	bare.SetLeft()
	for _, w := range []*wire.Member{whole.Wire(epoch), bare.Wire(epoch), {}, {Id: "a", FailureDomain: "d", State: "odd"}} {
		b, err := proto.Marshal(w)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		w := &wire.Member{}
		if proto.Unmarshal(b, w) != nil {
			return
		}
		m, err := MemberFromWire(epoch, w)
		if err != nil {
			return
		}
		again, err := MemberFromWire(epoch, m.Wire(epoch))
		if err != nil || again.hash() != m.hash() {
			t.Errorf("record %v changes on its way: %v, %v", m, again, err)
		}
		table := NewTable(node("self", "d", 1))
		table.Merge(epoch, []Member{m, again})
		table.Children(WholeRange(m.FailureDomain()), 4)
		table.Expire(epoch)
		table.Relays(m.ID())
	})
}
