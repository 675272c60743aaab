package baobabsettings

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"slices"
	"time"
)

// Values of the key authentication.
const (
	peersBySecret  = "secret"
	peersByNetwork = "network"
)

// Peers says how other nodes are found and authenticated. The key or the TLS material is set, or neither when the
// network lets only nodes through.
type Peers struct {
	seeds       []netip.AddrPort // Sorted; may be empty.
	key         []byte           // Shared by all nodes; nil with TLS.
	certificate *tls.Certificate // Nil with a key.
	authorities *x509.CertPool   // Nil with a key.
	idleTimeout time.Duration
	maxLinks    int
	keepAlive   time.Duration
	patience    time.Duration
}

func readPeers(r *reader) Peers {
	p := Peers{
		seeds:       r.addresses("peers", "seeds"),
		idleTimeout: r.duration("peers", "idle_timeout", 20*time.Second, time.Second, 24*time.Hour),
		maxLinks:    r.integer("peers", "max_links", 1024, 1, 1<<16),
		patience:    r.duration("peers", "connect_patience", 500*time.Millisecond, time.Millisecond, time.Minute),
		keepAlive:   r.duration("peers", "keep_alive", time.Second, 50*time.Millisecond, time.Minute),
	}
	if r.choice("peers", "authentication", peersBySecret, peersBySecret, peersByNetwork) == peersBySecret {
		p.readCredentials(r)
	}
	return p
}

func (p *Peers) readCredentials(r *reader) {
	const section = "peers"
	key, hasKey := r.value(section, "key_file")
	certificateFile, hasCertificate := r.value(section, "tls_certificate_file")
	privateFile, hasPrivate := r.value(section, "tls_key_file")
	authorityFile, hasAuthority := r.value(section, "tls_ca_file")
	hasTLS := hasCertificate || hasPrivate || hasAuthority
	switch {
	case hasKey && hasTLS:
		r.problem(section, "key_file", "either a key or TLS files are given, not both")
	case hasKey:
		p.key = r.secret(section, "key_file", key)
	case hasTLS:
		for _, k := range []string{"tls_ca_file", "tls_certificate_file", "tls_key_file"} {
			if !r.present(section, k) {
				r.problem(section, k, "a value is required with TLS")
			}
		}
		if hasCertificate && hasPrivate {
			p.certificate = readCertificate(r, certificateFile, privateFile)
		}
		if hasAuthority {
			p.authorities = readAuthorities(r, authorityFile)
		}
	case !r.present(section, "key_file"):
		r.problem(section, "key_file", "key_file or the three TLS files are required")
	}
}

func readCertificate(r *reader, certificateFile, privateFile string) *tls.Certificate {
	certificate, err := r.readFile(certificateFile)
	if err != nil {
		r.problem("peers", "tls_certificate_file", "%v", err)
		return nil
	}
	private, err := r.readFile(privateFile)
	if err != nil {
		r.problem("peers", "tls_key_file", "%v", err)
		return nil
	}
	pair, err := tls.X509KeyPair(certificate, private)
	if err != nil {
		r.problem("peers", "tls_certificate_file", "%v", err)
		return nil
	}
	return &pair
}

func readAuthorities(r *reader, name string) *x509.CertPool {
	data, err := r.readFile(name)
	if err != nil {
		r.problem("peers", "tls_ca_file", "%v", err)
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		r.problem("peers", "tls_ca_file", "%s has no PEM certificate", name)
		return nil
	}
	return pool
}

// Seeds returns the sorted peer addresses that a starting node asks first.
func (p Peers) Seeds() []netip.AddrPort { return slices.Clone(p.seeds) }

// Key returns a copy of the shared key, or nil with TLS.
func (p Peers) Key() []byte { return slices.Clone(p.key) }

// ByNetwork reports whether every process that the network lets through is taken for a node.
func (p Peers) ByNetwork() bool { return p.key == nil && p.certificate == nil }

// Certificate returns the certificate of this node, or nil with a key.
func (p Peers) Certificate() *tls.Certificate { return p.certificate }

// Authorities returns the certificate authorities of other nodes, or nil with a key.
func (p Peers) Authorities() *x509.CertPool { return p.authorities }

// IdleTimeout returns the time after which an unused link is closed.
func (p Peers) IdleTimeout() time.Duration { return p.idleTimeout }

// MaxLinks returns the largest number of open links.
func (p Peers) MaxLinks() int { return p.maxLinks }

// KeepAlive returns the time without traffic after which a link sends a sign of life. A link that is silent for three of
// them is closed.
func (p Peers) KeepAlive() time.Duration { return p.keepAlive }

// ConnectPatience returns how long a call waits for a link that is being established.
func (p Peers) ConnectPatience() time.Duration { return p.patience }
