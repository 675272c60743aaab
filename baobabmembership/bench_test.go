package baobabmembership

import (
	"runtime"
	"testing"
)

const (
	benchMembers = 4000
	benchDomains = 24
)

func BenchmarkMergeOne(b *testing.B) {
	t := fleetTable(benchMembers, benchDomains)
	m := fleetMember(1234, benchDomains)
	for b.Loop() {
		m.incarnation++
		t.Merge(epoch, []Member{m})
	}
}

func BenchmarkMergeUnknown(b *testing.B) {
	records := fleetRecords(benchMembers, benchDomains)
	for b.Loop() {
		NewTable(fleetMember(0, benchDomains)).Merge(epoch, records)
	}
}

func BenchmarkMergeKnown(b *testing.B) {
	t, records := fleetTable(benchMembers, benchDomains), fleetRecords(benchMembers, benchDomains)
	for b.Loop() {
		t.Merge(epoch, records)
	}
}

func BenchmarkDigest(b *testing.B) {
	t := fleetTable(benchMembers, benchDomains)
	for b.Loop() {
		t.Digest()
	}
}

func BenchmarkProbeTargets(b *testing.B) {
	t := fleetTable(benchMembers, benchDomains)
	for b.Loop() {
		t.ProbeTargets()
	}
}

func BenchmarkBranches(b *testing.B) {
	t := fleetTable(benchMembers, benchDomains)
	for b.Loop() {
		t.Branches(FullHashRange("domain-00"), 4)
	}
}

// BenchmarkMemory reports the memory per member, in bytes, of a table whose records were decoded from messages.
func BenchmarkMemory(b *testing.B) {
	records := MembersToWire(epoch, fleetRecords(benchMembers, benchDomains))
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		t := NewTable(fleetMember(0, benchDomains))
		for _, w := range records {
			m, err := MemberFromWire(epoch, w)
			if err != nil {
				b.Fatal(err)
			}
			t.Merge(epoch, []Member{m})
		}
		b.ReportMetric(float64(heap()-before)/benchMembers, "B/member")
		runtime.KeepAlive(t)
	}
	runtime.KeepAlive(records)
}
