package baobabpeer

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// A failingListener fails with an error before each connection, and then for good.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
}

// TestAcceptFailure guards against a process that ends because one connection could not be accepted, for example for want of
// descriptors, and against one that stays deaf when its listener has failed.
func TestAcceptFailure(t *testing.T) {
	transport := NewTransport(Unauthenticated{})
	defer func() { _ = transport.Close() }()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &failingListener{Listener: n, errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOMEM}}
	if err := transport.Serve(l, HandlerFunc(nil)); err == nil || !errors.Is(err, net.ErrClosed) {
		t.Errorf("Serve = %v, want the end of the listener", err)
	}
	if len(l.errs) != 0 {
		t.Errorf("Serve ended before %d more connections", len(l.errs))
	}
	var retry acceptRetry
	last, _ := retry.next(syscall.EMFILE)
	for range 20 {
		pause, ok := retry.next(syscall.EMFILE)
		if !ok || pause < last || pause > acceptPauseMax {
			t.Errorf("pause of %s after %s, %t", pause, last, ok)
		}
		last = pause
	}
	retry.reset()
	if pause, _ := retry.next(syscall.EMFILE); pause != acceptPauseMin {
		t.Errorf("pause of %s after a connection was accepted, want %s", pause, acceptPauseMin)
	}
}
