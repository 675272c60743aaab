package baobabnode

import (
	"context"
	"crypto/rand"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
	blackboard "github.com/baobabdale/baobabdale/baobabblackboard"
	configuration "github.com/baobabdale/baobabdale/baobabconfiguration"
	peer "github.com/baobabdale/baobabdale/baobabpeer"
	settings "github.com/baobabdale/baobabdale/baobabsettings"
)

// certificateName is the DNS name that every node certificate must be valid for. A fixed name is needed because nodes
// are dialled by IP address.
const certificateName = "baobabdale"

// peerCredentials returns the credentials for links between nodes.
func peerCredentials(p settings.Peers) (peer.Credentials, error) {
	if p.TrustsNetwork() {
		return peer.Unauthenticated{}, nil
	}
	if p.Certificate() != nil {
		return peer.NewCertificates(*p.Certificate(), p.Authorities(), certificateName), nil
	}
	key, err := peer.NewSharedKey(p.Key())
	if err != nil {
		return nil, errors.Wrap(err, "credentials of peer links")
	}
	return key, nil
}

// operatorToken returns the token that operators must send. If the settings contain none, it returns a random token, so
// that only metrics and health are accessible.
func operatorToken(o settings.Operator) string {
	if o.Token() == "" {
		return rand.Text()
	}
	return o.Token()
}

// dialerFrom returns a dial function that uses the given IP address as the source address, so that other nodes and the
// network can identify the VM that a link comes from.
func dialerFrom(source netip.AddrPort) func(context.Context, string) (net.Conn, error) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: source.Addr().AsSlice()}}
	if source.Addr().IsUnspecified() {
		dialer.LocalAddr = nil
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

func seedAddresses(s *settings.Settings) []string {
	var list []string
	for _, a := range s.Peers().Seeds() {
		if a != s.Listen().PeerAdvertise() {
			list = append(list, a.String())
		}
	}
	return list
}

// localPolicy returns the policy of the routes to the local service. If the routes have different policies, the first
// route by name decides. It reports false while there is no upstream or no configuration.
func localPolicy(board *blackboard.Board) (configuration.Policy, bool) {
	u, active := board.Upstream(), board.ActiveConfiguration()
	if u == nil || active == nil {
		return configuration.Policy{}, false
	}
	document := active.Snapshot().Document()
	for _, r := range document.Routes() {
		if !slices.Contains(r.Services(), u.Service()) {
			continue
		}
		if p, ok := document.Policy(r.Policy()); ok {
			return p, true
		}
	}
	return configuration.DefaultPolicy(), true
}

func toAdmissionPolicy(p configuration.Policy) admission.Policy {
	ranks := make([]admission.Rank, 0, len(p.Ranks()))
	for _, r := range p.Ranks() {
		ranks = append(ranks, admission.NewRank(r.Name(), r.Priority(), r.FloorPercent(), r.LatencyTarget()))
	}
	return admission.NewPolicy(ranks, p.QueueLimit(), p.CallerFloorPercent())
}

// answerGraceFor returns how long the ingress waits beyond the deadline for the admitting node's answer.
func answerGraceFor(a settings.Admission) time.Duration {
	if a.ObjectiveOrder() {
		return longAnswerGrace
	}
	return answerGrace
}

// ignoreShutdownError returns err, or nil if the node is shutting down and the server was closed for that reason.
func ignoreShutdownError(err error, t *tomb.Tomb) error {
	if !t.Alive() {
		return nil
	}
	return err
}

// accountLimit returns the limit of an account by the configuration in force, and whether it has one.
func (n *Node) accountLimit(name string) (ratePerSecond, burst float64, limited bool) {
	active := n.board.ActiveConfiguration()
	if active == nil {
		return 0, 0, false
	}
	a, ok := active.Snapshot().Document().Account(name)
	return a.Rate(), a.Burst(), ok && a.Rate() > 0
}

// accountsUsed reports whether the configuration in force has accounts, and returns a channel that is closed when another one
// comes into force.
func (n *Node) accountsUsed() (bool, <-chan struct{}) {
	changed := n.board.ActiveConfigurationChanged()
	active := n.board.ActiveConfiguration()
	return active != nil && !active.Accounts().Empty(), changed
}
