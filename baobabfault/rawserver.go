package baobabfault

import (
	"net"
	"sync"
)

// A RawServer passes each connection that it accepts to a function, with its number from 0, in a goroutine of its own. It stands in for a server that
// does not keep to its protocol.
type RawServer struct {
	listener net.Listener
	serve    func(number int, conn net.Conn)
	done     sync.WaitGroup

	mu     sync.Mutex
	open   map[net.Conn]bool
	closed bool
}

// NewRawServer returns a server at an address such as "127.0.0.1:0". A connection is closed when serve returns, or when the
// server is closed.
func NewRawServer(address string, serve func(number int, conn net.Conn)) (*RawServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: l, serve: serve, open: map[net.Conn]bool{}}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns the address on which the server listens.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, and waits until no function runs.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for c := range s.open {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *RawServer) accept() {
	for number := 0; ; number++ {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		s.done.Go(func() {
			defer s.remove(conn)
			s.serve(number, conn)
		})
	}
}

// add returns false if the server is closed.
func (s *RawServer) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[c] = true
	return true
}

func (s *RawServer) remove(c net.Conn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}
