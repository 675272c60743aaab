package baobabconfiguration

import (
	"fmt"
	"strings"
	"testing"
)

const (
	benchmarkServices  = 410
	benchmarkRoutes    = 1000
	benchmarkUpstreams = 4000
)

// benchmarkDocument returns a document of the size that is expected in two years.
func benchmarkDocument(b *testing.B, timeout string) *Document {
	var lines strings.Builder
	var routeNames []string
	for i := range benchmarkServices {
		fmt.Fprintf(&lines, `service s%d {"labels": {"tier": "t%d"}}`+"\n", i, i%5)
	}
	for i := range benchmarkRoutes {
		fmt.Fprintf(&lines, `route r%d {"host": "h%d.example", "path_prefix": "/api/v%d/items", "service": "s%d"}`+"\n",
			i, i%benchmarkServices, i/benchmarkServices, i%benchmarkServices)
		routeNames = append(routeNames, fmt.Sprintf("%q", fmt.Sprintf("r%d", i)))
	}
	for i := range benchmarkUpstreams {
		fmt.Fprintf(&lines, `upstream_labels u%d {"labels": {"zone": "z%d"}}`+"\n", i, i%24)
	}
	fmt.Fprintf(&lines, `route changing {"service": "s0", "timeout": "%s"}`+"\n", timeout)
	fmt.Fprintf(&lines, `selector all {"routes": ["changing", %s]}`+"\n", strings.Join(routeNames, ", "))
	d := mustDocument(b, lines.String())
	if p := Validate(d); len(p) != 0 {
		b.Fatal(p)
	}
	return d
}

func benchmarkSnapshots(b *testing.B) (base, next *Snapshot) {
	return NewSnapshot(1, benchmarkDocument(b, "1s")), NewSnapshot(2, benchmarkDocument(b, "2s"))
}

func BenchmarkDiff(b *testing.B) {
	base, next := benchmarkSnapshots(b)
	for b.Loop() {
		if d := NewDelta(base, next); d.Len() != 1 {
			b.Fatal(d.Len())
		}
	}
}

func BenchmarkApply(b *testing.B) {
	base, next := benchmarkSnapshots(b)
	d := NewDelta(base, next)
	for b.Loop() {
		if _, err := d.Apply(base); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkNewView(b *testing.B) {
	base, _ := benchmarkSnapshots(b)
	for b.Loop() {
		if _, err := NewView(base, Labels{}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	base, _ := benchmarkSnapshots(b)
	v, err := NewView(base, Labels{})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, ok := v.Match("h7.example", "GET", "/api/v1/items/12345/parts/6"); !ok {
			b.Fatal("no route")
		}
	}
}

func BenchmarkValidate(b *testing.B) {
	base, _ := benchmarkSnapshots(b)
	for b.Loop() {
		if p := Validate(base.Document()); len(p) != 0 {
			b.Fatal(p)
		}
	}
}

func BenchmarkEncodeSnapshot(b *testing.B) {
	base, _ := benchmarkSnapshots(b)
	for b.Loop() {
		data, err := base.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

func BenchmarkDecodeSnapshot(b *testing.B) {
	base, _ := benchmarkSnapshots(b)
	data, err := base.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := DecodeSnapshot(data, base.Version().Digest()); err != nil {
			b.Fatal(err)
		}
	}
}
