package baobabfault

import "time"

// A Path is the part of a proxy's traffic that comes from one class of clients, for example one failure domain. Its
// failures apply beside those of other classes.
type Path struct {
	proxy *Proxy
	class string // Empty: all classes.
}

// Cut closes all connections and refuses new ones until Heal.
func (p *Path) Cut() { p.change(func(f *faults) { f.cut = true }) }

// HalfOpen keeps connections open, accepts new ones, and forwards nothing in either direction until Heal.
func (p *Path) HalfOpen() { p.change(func(f *faults) { f.halfOpen = true }) }

// DropReplies forwards to the target and drops what comes back until Heal.
func (p *Path) DropReplies() { p.change(func(f *faults) { f.dropReplies = true }) }

// Delay holds each chunk for delay and up to jitter more, in order, in both directions.
func (p *Path) Delay(delay, jitter time.Duration) {
	p.change(func(f *faults) { f.delay, f.jitter = delay, jitter })
}

// Throttle limits each direction of each connection to a rate in bytes per second; zero is unlimited.
func (p *Path) Throttle(rate int) { p.change(func(f *faults) { f.rate = rate }) }

// Stall holds a share of the chunks, and those behind them, for a time, as TCP does after the loss of a packet.
func (p *Path) Stall(share float64, d time.Duration) {
	p.change(func(f *faults) { f.stallShare, f.stallTime = share, d })
}

// Heal ends all failures but delays. Connections from which bytes were dropped are closed, because the rest of their
// streams would be garbage.
func (p *Path) Heal() {
	p.proxy.mu.Lock()
	defer p.proxy.mu.Unlock()
	p.proxy.each(p.class, func(class string, f *faults) {
		if f.halfOpen || f.dropReplies {
			p.proxy.closeClass(class)
		}
		*f = faults{delay: f.delay, jitter: f.jitter}
	})
}

func (p *Path) change(set func(*faults)) {
	p.proxy.mu.Lock()
	defer p.proxy.mu.Unlock()
	p.proxy.each(p.class, func(class string, f *faults) {
		set(f)
		if f.cut {
			p.proxy.closeClass(class)
		}
	})
}
