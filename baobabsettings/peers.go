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
	authBySecret  = "secret"
	authByNetwork = "network"
)

// Peers holds the settings of discovery, authentication and links of other nodes. Either the key or the TLS files are
// set, or neither if the node trusts the network to let only nodes through.
type Peers struct {
	seeds       []netip.AddrPort // Sorted; may be empty.
	key         []byte           // Shared by all nodes; nil with TLS.
	certificate *tls.Certificate // Nil with a key.
	authorities *x509.CertPool   // Nil with a key.
	idleTimeout time.Duration
	maxLinks    int
	keepAlive   time.Duration
	connectWait time.Duration
}

func readPeers(r *reader) Peers {
	p := Peers{
		seeds:       r.addresses("peers", "seeds"),
		idleTimeout: r.duration("peers", "idle_timeout", 20*time.Second, time.Second, 24*time.Hour),
		maxLinks:    r.integer("peers", "max_links", 1024, 1, 1<<16),
		connectWait: r.duration("peers", "connect_patience", 500*time.Millisecond, time.Millisecond, time.Minute),
		keepAlive:   r.duration("peers", "keep_alive", time.Second, 50*time.Millisecond, time.Minute),
	}
	if r.choice("peers", "authentication", authBySecret, authBySecret, authByNetwork) == authBySecret {
		p.readCredentials(r)
	}
	return p
}

func (p *Peers) readCredentials(r *reader) {
	const section = "peers"
	keyFile, hasKeyFile := r.value(section, "key_file")
	certificateFile, hasCertificate := r.value(section, "tls_certificate_file")
	privateKeyFile, hasPrivateKey := r.value(section, "tls_key_file")
	authorityFile, hasAuthority := r.value(section, "tls_ca_file")
	hasTLS := hasCertificate || hasPrivateKey || hasAuthority
	switch {
	case hasKeyFile && hasTLS:
		r.addProblem(section, "key_file", "either a key or TLS files are given, not both")
	case hasKeyFile:
		p.key = r.secretFile(section, "key_file", keyFile)
	case hasTLS:
		for _, k := range []string{"tls_ca_file", "tls_certificate_file", "tls_key_file"} {
			if !r.hasKey(section, k) {
				r.addProblem(section, k, "a value is required with TLS")
			}
		}
		if hasCertificate && hasPrivateKey {
			p.certificate = readCertificate(r, certificateFile, privateKeyFile)
		}
		if hasAuthority {
			p.authorities = readAuthorities(r, authorityFile)
		}
	case !r.hasKey(section, "key_file"):
		r.addProblem(section, "key_file", "key_file or the three TLS files are required")
	}
}

// readCertificate returns a certificate with its private key, or nil after a problem.
func readCertificate(r *reader, certificateFile, privateKeyFile string) *tls.Certificate {
	certificate, err := r.readFile(certificateFile)
	if err != nil {
		r.addProblem("peers", "tls_certificate_file", "%v", err)
		return nil
	}
	privateKey, err := r.readFile(privateKeyFile)
	if err != nil {
		r.addProblem("peers", "tls_key_file", "%v", err)
		return nil
	}
	pair, err := tls.X509KeyPair(certificate, privateKey)
	if err != nil {
		r.addProblem("peers", "tls_certificate_file", "%v", err)
		return nil
	}
	return &pair
}

// readAuthorities returns the certificates in a PEM file, or nil after a problem.
func readAuthorities(r *reader, name string) *x509.CertPool {
	data, err := r.readFile(name)
	if err != nil {
		r.addProblem("peers", "tls_ca_file", "%v", err)
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		r.addProblem("peers", "tls_ca_file", "%s has no PEM certificate", name)
		return nil
	}
	return pool
}

// Seeds returns the sorted peer addresses that a starting node contacts first.
func (p Peers) Seeds() []netip.AddrPort { return slices.Clone(p.seeds) }

// Key returns a copy of the shared key, or nil with TLS.
func (p Peers) Key() []byte { return slices.Clone(p.key) }

// TrustsNetwork reports whether nodes are not authenticated: each process that can connect counts as a node.
func (p Peers) TrustsNetwork() bool { return p.key == nil && p.certificate == nil }

// Certificate returns the certificate of this node, or nil with a key.
func (p Peers) Certificate() *tls.Certificate { return p.certificate }

// Authorities returns the certificate authorities of other nodes, or nil with a key.
func (p Peers) Authorities() *x509.CertPool { return p.authorities }

// IdleTimeout returns the time after which a dialled link without streams is closed.
func (p Peers) IdleTimeout() time.Duration { return p.idleTimeout }

// MaxLinks returns the largest number of dialled links.
func (p Peers) MaxLinks() int { return p.maxLinks }

// KeepAlive returns the time without traffic after which a keepalive is sent on a link. A link that is silent for
// three times as long is closed.
func (p Peers) KeepAlive() time.Duration { return p.keepAlive }

// ConnectWait returns how long a call waits for a link that is being established.
func (p Peers) ConnectWait() time.Duration { return p.connectWait }
