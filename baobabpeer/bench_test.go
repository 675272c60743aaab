package baobabpeer

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"testing"
)

func BenchmarkRequest(b *testing.B) {
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			_, address := startServer(b, sharedKey(b, testKey), echo)
			c := newClient(b, sharedKey(b, testKey))
			m := message(string(make([]byte, 300)))
			b.ReportAllocs()
			b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
			if callers == 1 {
				for b.Loop() {
					if _, err := c.Request(b.Context(), address, m); err != nil {
						b.Fatal(err)
					}
				}
				return
			}
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if _, err := c.Request(b.Context(), address, m); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkLoopback measures the round trip of the same bytes over a bare TCP connection: the lower bound of
// BenchmarkRequest.
func BenchmarkLoopback(b *testing.B) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer n.Close()
	go func() {
		if c, err := n.Accept(); err == nil {
			_, _ = io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{c})
			_ = c.Close()
		}
	}()
	c, err := net.Dial("tcp", n.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	buffer := make([]byte, 320)
	for b.Loop() {
		if _, err := c.Write(buffer); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, buffer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLinkMemory reports heap and stack bytes per link, for both ends together.
func BenchmarkLinkMemory(b *testing.B) {
	const links = 200
	for b.Loop() {
		var addresses []string
		for range links {
			_, address := startServer(b, sharedKey(b, testKey), echo)
			addresses = append(addresses, address)
		}
		c := newClient(b, sharedKey(b, testKey), WithMaxLinks(links))
		before := memoryInUse()
		for _, a := range addresses {
			if _, err := c.Request(b.Context(), a, message("x")); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(memoryInUse()-before)/links, "B/link")
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
