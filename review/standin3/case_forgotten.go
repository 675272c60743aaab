package main

import (
	"fmt"
	"time"
)

const (
	// storeOutage is how long the store refuses calls.
	storeOutage = 3 * time.Second
	// beatDelay is how late the upstream's last heartbeat before its leaving arrives.
	beatDelay = 4 * time.Second
	// stableWindow is stable_window_s.
	stableWindow = 3 * time.Second
)

// runForgotten lets an upstream leave while the store is down, and kills the nodes once the leaving was acknowledged. The
// upstream's last heartbeat before it left arrives late. The upstream goes on serving for some seconds.
func runForgotten(b *bed, trouble bool) (verdict, error) {
	cs, stop := newCallers(b), make(chan struct{})
	if err := startDrainBed(b, cs, stop); err != nil {
		return verdict{}, err
	}
	u := b.machines[0].upstream
	if trouble {
		b.record.write("the store is down")
		b.store.setDown(true)
	}
	u.mu.Lock()
	u.gone = true // No heartbeats but the late one.
	u.sequence++
	late := u.beat()
	u.mu.Unlock()
	time.AfterFunc(beatDelay, func() { u.send(late) })
	time.Sleep(100 * time.Millisecond)
	if !u.leave() {
		return verdict{}, fmt.Errorf("the node did not acknowledge that the upstream leaves")
	}
	acknowledged := b.record.now()
	time.Sleep(100 * time.Millisecond)
	if trouble {
		if err := restartNodes(b, time.Second); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(storeOutage - 1200*time.Millisecond)
	b.store.setDown(false)
	inTouch := b.record.now() + stableWindow // The nodes were started before.
	b.record.write("the store is up")
	time.Sleep(9 * time.Second)
	u.stop()
	b.record.write("the upstream has ended")
	time.Sleep(time.Second)
	close(stop)
	cs.wait()
	return drainVerdict(b, u, acknowledged, inTouch), nil
}

// restartNodes kills all nodes and starts them again after a pause.
func restartNodes(b *bed, pause time.Duration) error {
	for _, m := range b.machines {
		m.killNode()
	}
	time.Sleep(pause)
	for _, m := range b.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	return nil
}
