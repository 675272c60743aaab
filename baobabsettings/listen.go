package baobabsettings

import "net/netip"

// Listen holds the addresses on which a node listens.
type Listen struct {
	entry    netip.AddrPort
	peer     netip.AddrPort
	operator netip.AddrPort
	announce netip.AddrPort
	ready    netip.AddrPort // Zero: readiness is served only at the operator address.

	advertise netip.AddrPort // Dialled by other nodes; the peer address unless set.
}

func readListen(r *reader) Listen {
	l := Listen{
		entry:    r.address("listen", "entry_address"),
		peer:     r.address("listen", "peer_address"),
		operator: r.address("listen", "operator_address"),
		announce: r.address("listen", "announce_address"),
	}
	l.ready = r.optionalAddress("listen", "ready_address", netip.AddrPort{})
	l.advertise = r.optionalAddress("listen", "peer_advertise_address", l.peer)
	if l.advertise.IsValid() && l.advertise.Addr().IsUnspecified() {
		r.addProblem("listen", "peer_address", "%s is not an address that other nodes can dial", l.advertise)
	}
	l.checkDistinct(r)
	return l
}

// checkDistinct reports listeners with the same address.
func (l Listen) checkDistinct(r *reader) {
	keys := map[netip.AddrPort]string{}
	for _, e := range []struct {
		key     string
		address netip.AddrPort
	}{
		{"announce_address", l.announce},
		{"entry_address", l.entry},
		{"operator_address", l.operator},
		{"peer_address", l.peer},
		{"ready_address", l.ready},
	} {
		if first, ok := keys[e.address]; ok && e.address.IsValid() {
			r.addProblem("listen", e.key, "%s is also %s", e.address, first)
		}
		keys[e.address] = e.key
	}
}

// Entry returns the address for callers.
func (l Listen) Entry() netip.AddrPort { return l.entry }

// Peer returns the address for other nodes.
func (l Listen) Peer() netip.AddrPort { return l.peer }

// Operator returns the address of the operator API, the metrics and the health endpoints.
func (l Listen) Operator() netip.AddrPort { return l.operator }

// Announce returns the address for announcements of the local upstream.
func (l Listen) Announce() netip.AddrPort { return l.announce }

// Ready returns the address that serves only the readiness endpoint, or a zero address.
func (l Listen) Ready() netip.AddrPort { return l.ready }

// PeerAdvertise returns the address that other nodes dial.
func (l Listen) PeerAdvertise() netip.AddrPort { return l.advertise }
