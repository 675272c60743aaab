package baobabmembership

import (
	"testing"

	"google.golang.org/protobuf/proto"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// FuzzMemberFromWire guards against records that crash the table or change when encoded and decoded.
func FuzzMemberFromWire(f *testing.F) {
	whole := fleetMember(1, 1)
	whole.SetLabels(map[string]string{"k": "v"})
	bare := testMember("a", "d", 1)
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
			t.Errorf("record %v encoded and decoded = %v, %v, want no change", m, again, err)
		}
		table := NewTable(testMember("self", "d", 1))
		table.Merge(epoch, []Member{m, again})
		table.Branches(FullHashRange(m.FailureDomain()), 4)
		table.Expire(epoch)
		table.ProbeRelays(m.ID())
	})
}
