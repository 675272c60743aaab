package baobabfault

import "time"

// A Path is the traffic of one class of clients through a proxy, for example of those in one failure domain. Each class
// has its own faults.
type Path struct {
	proxy       *Proxy
	clientClass string // Empty: all classes.
}

// Disconnect closes all connections and resets new ones until Heal.
func (p *Path) Disconnect() { p.updateFaults(func(f *faults) { f.disconnected = true }) }

// HalfOpen keeps connections open and accepts new ones, but drops the bytes in both directions until Heal.
func (p *Path) HalfOpen() { p.updateFaults(func(f *faults) { f.halfOpen = true }) }

// DropReplies forwards bytes to the target but drops those to the client until Heal.
func (p *Path) DropReplies() { p.updateFaults(func(f *faults) { f.dropReplies = true }) }

// Delay delays each chunk by delay plus a random time up to jitter, in both directions. Chunks stay in order.
func (p *Path) Delay(delay, jitter time.Duration) {
	p.updateFaults(func(f *faults) { f.delay, f.jitter = delay, jitter })
}

// Throttle limits each direction of each connection to a rate in bytes per second; zero is unlimited.
func (p *Path) Throttle(rate int) { p.updateFaults(func(f *faults) { f.bytesPerSecond = rate }) }

// Stall delays a share of the chunks, and with them those that follow, by d, as TCP does after the loss of a packet.
func (p *Path) Stall(share float64, d time.Duration) {
	p.updateFaults(func(f *faults) { f.stallShare, f.stallTime = share, d })
}

// Heal removes all faults except delay and jitter. It closes connections whose bytes were dropped, because the rest of
// their streams would be corrupt.
func (p *Path) Heal() {
	p.proxy.mu.Lock()
	defer p.proxy.mu.Unlock()
	p.proxy.forEachClass(p.clientClass, func(class string, f *faults) {
		if f.halfOpen || f.dropReplies {
			p.proxy.closeClass(class)
		}
		*f = faults{delay: f.delay, jitter: f.jitter}
	})
}

func (p *Path) updateFaults(change func(*faults)) {
	p.proxy.mu.Lock()
	defer p.proxy.mu.Unlock()
	p.proxy.forEachClass(p.clientClass, func(class string, f *faults) {
		change(f)
		if f.disconnected {
			p.proxy.closeClass(class)
		}
	})
}
